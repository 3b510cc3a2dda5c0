import { configurationHeadKey, parseHead } from "@filbertrelay/configuration";
import type { Configuration, ConfigurationHead } from "@filbertrelay/configuration";
import type { KeyValueClient, StoredValue } from "@filbertrelay/connectors";
import { invariant } from "@filbertrelay/kernel";
import type { Cancel, Clock, EventLog, HostId, Kernel } from "@filbertrelay/kernel";
import { rankByRendezvous } from "@filbertrelay/policy";
import type { PeerNetwork } from "@filbertrelay/wire";
import type { ConfigurationService } from "../contract.js";
import type { GossipMembership } from "../membership/service.js";
import { configurationEvents } from "./event.js";
import { HeadHistory } from "./history.js";
import { publicationIntervalMs } from "./interval.js";
import { fetchTopic } from "./topic.js";

/** Name of the gossip value with which each host publishes the version number of its configuration in effect. */
export const configurationValueName = "configuration";

const watchersPerDomain = 2;
const watchTimeoutMs = 20_000;
const firstRetryMs = 500;
const maxRetryMs = 5_000;
const fetchTimeoutMs = 2_000;
const peersPerAttempt = 3;
const startTimeoutMs = 5_000;

/** Creates the configuration service; register it as `configuration`, after `peers`, `keyValue` and `membership`. */
export function createConfigurationService(kernel: Kernel): ConfigurationService {
    return new WatchedConfiguration(kernel);
}

/** Watches the key-value service on two hosts per failure domain; the other hosts fetch the configuration from peers. */
class WatchedConfiguration implements ConfigurationService {
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #keyValue: KeyValueClient;
    readonly #membership: GossipMembership;
    readonly #network: PeerNetwork;
    readonly #history = new HeadHistory();
    readonly #callbacks = new Set<(head: ConfigurationHead) => void>();
    readonly #stopping = new AbortController();
    #head: ConfigurationHead | undefined;
    #storeVersion = 0;
    #hasQueriedSources = false;
    #isAvailable = true;
    #fetching: Promise<void> | undefined;
    #endWait: () => void = () => undefined;
    #lastPublishedMs = -Infinity;
    #cancelPublication: Cancel | undefined;

    constructor(kernel: Kernel) {
        this.#clock = kernel.clock;
        this.#log = kernel.log;
        this.#keyValue = kernel.get<KeyValueClient & object>("keyValue");
        this.#membership = kernel.get<GossipMembership>("membership");
        this.#network = kernel.get<PeerNetwork & object>("peers");
        this.#network.handle(fetchTopic, ({ knownVersion }) => Promise.resolve(this.#history.reply(knownVersion)));
        this.#membership.onConfigurationAnnounced((host, version) => void this.#fetchNewer(host, version));
        this.#membership.onChange(() => this.#endWait());
    }

    async start(): Promise<void> {
        const loading = this.#loadUntilReady();
        await Promise.race([loading, this.#sleep(startTimeoutMs)]);
        void loading.then(() => this.#watchLoop());
    }

    stop(): Promise<void> {
        this.#stopping.abort(new Error("The configuration service stopped."));
        this.#cancelPublication?.();
        this.#endWait();
        return Promise.resolve();
    }

    head(): ConfigurationHead | undefined {
        return this.#head;
    }

    current(): Configuration {
        invariant(this.#head !== undefined, "The configuration was read before the first one was loaded.");
        return this.#head.configuration;
    }

    onChange(callback: (head: ConfigurationHead) => void): Cancel {
        this.#callbacks.add(callback);
        return () => this.#callbacks.delete(callback);
    }

    isReady(): boolean {
        return this.#hasQueriedSources && this.#head !== undefined;
    }

    async #loadUntilReady(): Promise<void> {
        for (let retryMs = firstRetryMs; !this.#isStopped; retryMs = nextRetryMs(retryMs)) {
            const peers = this.#fetchFromPeers();
            // The stored head may have been replaced by an older one, so it counts only after the peers were queried too.
            const store = Promise.all([this.#loadFromStore(), peers.catch(() => undefined)]);
            this.#hasQueriedSources = await Promise.any([peers, store]).then(() => true, () => false);
            if (this.isReady()) {
                return;
            }
            await this.#waitForMembershipChange(retryMs);
        }
    }

    async #loadFromStore(): Promise<void> {
        const stored = await this.#keyValue.get(configurationHeadKey, "configuration");
        this.#recordAvailability(stored.ok ? undefined : stored.issue.message);
        if (!stored.ok) {
            throw new Error(stored.issue.message);
        }
        if (stored.value !== undefined) {
            this.#applyStored(stored.value);
        }
    }

    async #fetchFromPeers(): Promise<void> {
        const self = this.#membership.self().hostId;
        const live = this.#membership.members().filter(({ hostId, state }) => hostId !== self && state !== "dead");
        const selected = rankByRendezvous(`${self} ${this.#clock.monotonicMs()}`, live, ({ hostId }) => hostId).slice(
            0,
            peersPerAttempt,
        );
        await Promise.any(selected.map(({ hostId }) => this.#fetchFrom(hostId)));
    }

    async #watchLoop(): Promise<void> {
        let retryMs = firstRetryMs;
        while (!this.#isStopped) {
            if (!this.#isWatcher()) {
                await this.#waitForMembershipChange(watchTimeoutMs);
                continue;
            }
            const isSuccessful = await this.#watchOnce();
            if (!isSuccessful) {
                // Jitter: after an outage the key-value service must not be called by all watchers at once.
                await this.#sleep(retryMs * (0.5 + Math.random()));
            }
            retryMs = isSuccessful ? firstRetryMs : nextRetryMs(retryMs);
        }
    }

    #isWatcher(): boolean {
        const { hostId: self, failureDomain } = this.#membership.self();
        const candidates = this.#membership.members().filter(member =>
            member.failureDomain === failureDomain && (member.state === "alive" || member.hostId === self)
        );
        const watchers = rankByRendezvous("configuration/watch", candidates, ({ hostId }) => hostId).slice(0, watchersPerDomain);
        return watchers.some(({ hostId }) => hostId === self);
    }

    async #watchOnce(): Promise<boolean> {
        const startMs = this.#clock.monotonicMs();
        const changed = await this.#keyValue.watch(configurationHeadKey, {
            afterVersion: this.#storeVersion,
            timeoutMs: watchTimeoutMs,
            purpose: "configuration",
            signal: this.#stopping.signal,
        });
        if (this.#isStopped) {
            return true;
        }
        this.#recordAvailability(changed.ok ? undefined : changed.issue.message);
        if (changed.ok) {
            changed.value.filter(({ key }) => key === configurationHeadKey).forEach(value => this.#applyStored(value));
        }
        // Without this, a watch that ends early without a change would be repeated in a busy loop.
        return changed.ok && (changed.value.length > 0 || this.#clock.monotonicMs() - startMs > firstRetryMs);
    }

    #applyStored(stored: StoredValue): void {
        this.#storeVersion = Math.max(this.#storeVersion, stored.version);
        this.#apply(stored.value, "key-value service");
    }

    async #fetchNewer(host: HostId, version: number): Promise<void> {
        if (this.#fetching !== undefined || version <= this.#history.newest || this.#isStopped) {
            return;
        }
        // A failed fetch is retried at the next announcement, which usually comes from another host.
        this.#fetching = this.#fetchFrom(host).catch(() => undefined);
        await this.#fetching;
        this.#fetching = undefined;
    }

    async #fetchFrom(host: HostId): Promise<void> {
        const knownVersion = this.#history.newest;
        const reply = await this.#network.call(host, fetchTopic, { knownVersion }, {
            timeoutMs: fetchTimeoutMs,
            signal: this.#stopping.signal,
        });
        if (!reply.ok) {
            throw new Error(reply.issue.message);
        }
        if (reply.value.version <= this.#history.newest) {
            return;
        }
        const text = this.#history.rebuild(reply.value, knownVersion);
        if (!text.ok) {
            this.#log.write(configurationEvents.malformed, { source: host, reason: text.issue.message });
            throw new Error(text.issue.message);
        }
        this.#apply(text.value, host);
    }

    #apply(text: string, source: string): void {
        const parsed = parseHead(text);
        if (!parsed.ok) {
            this.#log.write(configurationEvents.malformed, { source, reason: parsed.issue.message });
            return;
        }
        const head = parsed.value;
        if (this.#head !== undefined && head.version <= this.#head.version) {
            this.#reportConflict(head, source);
            return;
        }
        this.#head = head;
        this.#history.add(head.version, text);
        this.#log.write(configurationEvents.applied, { version: head.version, source });
        this.#membership.announceConfiguration(head.version);
        this.#publish();
        this.#callbacks.forEach(callback => this.#notify(callback, head));
    }

    #reportConflict(head: ConfigurationHead, source: string): void {
        if (head.version === this.#head?.version && head.submissionId !== this.#head.submissionId) {
            this.#log.write(configurationEvents.conflicting, { version: head.version, source });
        }
    }

    #notify(callback: (head: ConfigurationHead) => void, head: ConfigurationHead): void {
        try {
            callback(head);
        }
        catch (error) {
            this.#log.write(configurationEvents.callbackFailed, { version: head.version, error: String(error) });
        }
    }

    #publish(): void {
        this.#cancelPublication?.();
        const fleetSize = this.#membership.members().filter(({ state }) => state !== "dead").length;
        const waitMs = this.#lastPublishedMs + publicationIntervalMs(fleetSize) - this.#clock.monotonicMs();
        if (waitMs > 0) {
            this.#cancelPublication = this.#clock.after(waitMs, () => this.#publish());
            return;
        }
        this.#lastPublishedMs = this.#clock.monotonicMs();
        this.#membership.publish(configurationValueName, this.#history.newest);
    }

    #recordAvailability(reason: string | undefined): void {
        const isAvailable = reason === undefined;
        if (isAvailable !== this.#isAvailable) {
            this.#isAvailable = isAvailable;
            this.#log.write(isAvailable ? configurationEvents.available : configurationEvents.unavailable, { reason });
        }
    }

    get #isStopped(): boolean {
        return this.#stopping.signal.aborted;
    }

    // Ends early when the membership changes, since this host may have become a watcher or found its first peer.
    async #waitForMembershipChange(ms: number): Promise<void> {
        await new Promise<void>(resolve => {
            const cancel = this.#clock.after(ms, resolve);
            this.#endWait = () => {
                cancel();
                resolve();
            };
        });
    }

    async #sleep(ms: number): Promise<void> {
        await this.#clock.sleep(ms, this.#stopping.signal).catch(() => undefined);
    }
}

function nextRetryMs(retryMs: number): number {
    return Math.min(maxRetryMs, 2 * retryMs);
}
