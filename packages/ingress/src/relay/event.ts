import { declareEvents } from "@filbertrelay/kernel";

/** Log events of requests that go to an endpoint through another host. */
export const relayEvents = declareEvents({
    relayRefused: {
        number: 4380,
        level: "info",
        text: "Another host refused to send a request to an endpoint for this host; the endpoint has not got it.",
        action: "None; `refusal` says why. If hosts are often `full`, too few of them reach the endpoints.",
    },
    linksCut: {
        number: 4382,
        level: "warn",
        text: "This host has lost its links to endpoints that other hosts reach; requests go there through those hosts.",
        action: "None at first; if it lasts, look at the network between this host and the endpoints of the failure domain.",
    },
    linksBack: {
        number: 4383,
        level: "info",
        text: "The links of this host to endpoints work again.",
        action: "None.",
    },
    hostStranded: {
        number: 4384,
        level: "warn",
        text: "This host has lost its links to all endpoints; callers are directed to other hosts.",
        action: "None at first; if it lasts, look at the network of this host.",
    },
    hostSteady: {
        number: 4385,
        level: "info",
        text: "The links of this host to endpoints have been steady for a while; callers are directed to it again.",
        action: "None.",
    },
    relayLost: {
        number: 4381,
        level: "warn",
        text: "The host that sent a request to an endpoint for this host was lost.",
        action: "None; with `wasSent` the endpoint may have got the request, which is then not repeated unless it may be.",
    },
});
