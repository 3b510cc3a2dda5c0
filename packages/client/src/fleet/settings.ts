import { stringify } from "smol-toml";

/** What a daemon's settings file is made of; `extra` adds or replaces whole tables, such as `timing`. */
export interface DaemonSettings {
    readonly hostId: string;
    readonly failureDomain: string;
    readonly peerAddress: string;
    readonly callerAddress: string;
    readonly clusterKey: string;
    readonly seeds: readonly string[];
    readonly platform: {
        readonly keyValue: string;
        readonly cloud: string;
        readonly hostList: string;
        readonly weightStore: string;
    };
    readonly extra?: Readonly<Record<string, unknown>>;
}

/** Writes a daemon's settings in TOML, in the form of packages/relay/src/settings.ts. */
export function formatSettings(settings: DaemonSettings): string {
    return stringify({
        host: {
            id: settings.hostId,
            failureDomain: settings.failureDomain,
            peerAddress: settings.peerAddress,
            callerAddress: settings.callerAddress,
        },
        cluster: { keys: [settings.clusterKey], seeds: [...settings.seeds] },
        platform: { ...settings.platform },
        ...settings.extra,
    });
}
