/**
 * The minimum time between two publications of the configuration version in effect by one host, in milliseconds. It grows with the
 * fleet, so that all hosts together publish at most 10 values a second however often the configuration changes.
 */
export function publicationIntervalMs(fleetSize: number): number {
    return 100 * fleetSize;
}
