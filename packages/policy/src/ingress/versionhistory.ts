/** Versions by service, with the time at which each was last seen; `null` if it was still there. */
export type SeenVersions = Readonly<Record<string, Readonly<Record<string, number | null>>>>;

/** What is stored of the versions of endpoints, for hosts that start when all others have been killed. */
export interface VersionRecord {
    /** Era of the store in which it was written; a restore may have undone a later one. */
    readonly era: number;
    /** No version has come or gone since then that is not recorded, in milliseconds since 1970. */
    readonly completeSinceMs: number;
    readonly services: SeenVersions;
}

/** Versions are remembered for this long after they were last seen, longer than any stream lasts. */
const retentionMs = 120_000;

/** Which software versions the endpoints of each service have had; times are milliseconds since 1970. */
export class VersionHistory {
    /** When each version was last seen; infinite while it is there. */
    readonly #services = new Map<string, Map<string, number>>();
    #completeSinceMs: number;

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

    /** Takes over what other hosts recorded. A record of an earlier era may lack versions. */
    merge(record: VersionRecord, era: number, nowMs: number): void {
        if (record.era >= era) {
            this.#completeSinceMs = Math.min(this.#completeSinceMs, record.completeSinceMs);
        }
        for (const [service, versions] of Object.entries(record.services)) {
            const known = this.#get(service);
            for (const [version, seenMs] of Object.entries(versions)) {
                // A version that was there when the record was written may have gone at any time since.
                known.set(version, Math.max(known.get(version) ?? -Infinity, seenMs ?? nowMs));
            }
        }
    }

    /**
     * The version at which every stream of a service has begun that is not older than `lifeMs`; `undefined` if there were several, or
     * if it is not known. A stream may begin at a version for `lateStartMs` after this host has seen the last endpoint of it.
     */
    onlyVersion(
        service: string,
        { lifeMs, lateStartMs }: { readonly lifeMs: number; readonly lateStartMs: number; },
        nowMs: number,
    ): string | undefined {
        const beganMs = nowMs - lifeMs;
        const possible = [...this.#services.get(service) ?? []].filter(([, seenMs]) => seenMs + lateStartMs >= beganMs);
        return this.#completeSinceMs <= beganMs && possible.length === 1 ? possible[0]?.[0] : undefined;
    }

    /** Returns what to store in an era. */
    describe(era: number): VersionRecord {
        const describeVersions = (versions: ReadonlyMap<string, number>): Record<string, number | null> =>
            Object.fromEntries([...versions].map(([version, seenMs]) => [version, Number.isFinite(seenMs) ? seenMs : null]));
        return {
            era,
            completeSinceMs: this.#completeSinceMs,
            services: Object.fromEntries(
                [...this.#services].filter(([, versions]) => versions.size > 0).map(([service, versions]) => [
                    service,
                    describeVersions(versions),
                ]),
            ),
        };
    }

    /** Whether a stored record lacks that a version has come or gone. */
    isOutdated(record: VersionRecord | undefined, era: number): boolean {
        if (record === undefined || record.era !== era) {
            return this.#services.size > 0;
        }
        return [...this.#services].some(([service, versions]) =>
            [...versions].some(([version, seenMs]) => {
                const recorded = record.services[service]?.[version];
                return recorded === undefined || (recorded === null) !== (seenMs === Infinity);
            })
        );
    }

    #get(service: string): Map<string, number> {
        const versions = this.#services.get(service) ?? new Map<string, number>();
        this.#services.set(service, versions);
        return versions;
    }
}
