/** Versions are remembered for this long after they were last seen, longer than any stream lasts. */
const retentionMs = 120_000;

/** Which software versions the endpoints of each service have had; times are milliseconds since 1970. */
export class VersionHistory {
    /** When each version was last seen; infinite while it is there. */
    readonly #services = new Map<string, Map<string, number>>();
    readonly #completeSinceMs: number;

    /** `startedMs` is when this host began to observe. */
    constructor(startedMs: number) {
        this.#completeSinceMs = startedMs;
    }

    /** Records which versions the endpoints of each service have now. */
    observe(present: ReadonlyMap<string, ReadonlySet<string>>, nowMs: number): void {
        for (const [service, versions] of present) {
            const known = this.#get(service);
            versions.forEach(version => known.set(version, Infinity));
        }
        for (const [service, versions] of this.#services) {
            for (const [version, seenMs] of versions) {
                if (seenMs === Infinity && present.get(service)?.has(version) !== true) {
                    versions.set(version, nowMs);
                }
                else if (nowMs - seenMs > retentionMs) {
                    versions.delete(version);
                }
            }
        }
    }

    /** The version that all endpoints of a service have had for a time; `undefined` if there were several, or if it is not known. */
    onlyVersion(service: string, spanMs: number, nowMs: number): string | undefined {
        const recent = [...this.#services.get(service) ?? []].filter(([, seenMs]) => seenMs >= nowMs - spanMs);
        return this.#completeSinceMs <= nowMs - spanMs && recent.length === 1 ? recent[0]?.[0] : undefined;
    }

    #get(service: string): Map<string, number> {
        const versions = this.#services.get(service) ?? new Map<string, number>();
        this.#services.set(service, versions);
        return versions;
    }
}
