import { declareEvents } from "@filbertrelay/kernel";

/** Log events of requests that go to an endpoint through another host. */
export const relayEvents = declareEvents({
    relayRefused: {
        number: 4380,
        level: "info",
        text: "Another host refused to send a request to an endpoint for this host; the endpoint has not got it.",
        action: "None; `refusal` says why. If hosts are often `full`, too few of them reach the endpoints.",
    },
    relayLost: {
        number: 4381,
        level: "warn",
        text: "The host that sent a request to an endpoint for this host was lost.",
        action: "None; with `wasSent` the endpoint may have got the request, which is then not repeated unless it may be.",
    },
});
