import type { Clock, EndpointId } from "@filbertrelay/kernel";
import type { EndpointRecord } from "../contract.js";
import { EndpointChannel } from "./channel.js";

/** Idle connections kept per endpoint; more are seldom used before they time out. */
const idleChannelsKept = 12;

interface EndpointChannels {
    readonly startedAtMs: number;
    readonly address: string;
    /** Most recently used last. */
    readonly idle: EndpointChannel[];
}

/** Counts connections that were opened, by service. */
export type ChannelOpened = (service: string) => void;

/** The connections of this host to all endpoints. */
export class ChannelPool {
    readonly #clock: Clock;
    readonly #onOpened: ChannelOpened;
    readonly #endpoints = new Map<EndpointId, EndpointChannels>();

    constructor(clock: Clock, options: { readonly onOpened?: ChannelOpened; } = {}) {
        this.#clock = clock;
        this.#onOpened = options.onOpened ?? (() => undefined);
    }

    /** Gives an idle connection that was used within `maximumIdleMs`, or opens one. */
    take(endpoint: EndpointRecord, maximumIdleMs: number): EndpointChannel {
        const channels = this.#channelsOf(endpoint);
        for (let channel = channels.idle.pop(); channel !== undefined; channel = channels.idle.pop()) {
            if (channel.isFresh(maximumIdleMs)) {
                return channel;
            }
            channel.close("The connection was idle for too long.");
        }
        const opened = new EndpointChannel({
            clock: this.#clock,
            address: endpoint.address,
            onIdle: channel => {
                channels.idle.push(channel);
                if (channels.idle.length > idleChannelsKept || this.#endpoints.get(endpoint.endpointId) !== channels) {
                    channels.idle.shift()?.close("Too many connections are idle.");
                }
            },
            onClosed: channel => {
                const index = channels.idle.indexOf(channel);
                if (index !== -1) {
                    channels.idle.splice(index, 1);
                }
            },
        });
        this.#onOpened(endpoint.service);
        return opened;
    }

    /** Closes the idle connections of an endpoint that has ended or left; those in use go on. */
    forget(endpointId: EndpointId): void {
        const channels = this.#endpoints.get(endpointId);
        this.#endpoints.delete(endpointId);
        for (const channel of [...channels?.idle ?? []]) {
            channel.close("The endpoint has left.");
        }
    }

    #channelsOf(endpoint: EndpointRecord): EndpointChannels {
        const known = this.#endpoints.get(endpoint.endpointId);
        if (known?.startedAtMs === endpoint.startedAtMs && known.address === endpoint.address) {
            return known;
        }
        this.forget(endpoint.endpointId);
        const created = {
            startedAtMs: endpoint.startedAtMs,
            address: endpoint.address,
            idle: [],
        };
        this.#endpoints.set(endpoint.endpointId, created);
        return created;
    }
}
