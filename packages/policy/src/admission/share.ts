/** The demand of one customer. */
export interface ShareDemand {
    readonly name: string;
    readonly weight: number;
    /** Batch slots that the customer could currently use, capped at its concurrency limit. */
    readonly demand: number;
}

/**
 * Divides capacity by weighted max-min fairness: no customer gets more than its demand, and unused capacity goes to the
 * others in proportion to their weights. Capacity and result are in batch slots.
 */
export function allocateShares(demands: readonly ShareDemand[], capacity: number): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    const ordered = [...demands].sort((left, right) => left.demand / left.weight - right.demand / right.weight);
    let remainingCapacity = capacity;
    let remainingWeight = ordered.reduce((sum, entry) => sum + entry.weight, 0);
    for (const entry of ordered) {
        const fairShare = remainingWeight > 0 ? remainingCapacity * entry.weight / remainingWeight : 0;
        const share = Math.max(0, Math.min(entry.demand, fairShare));
        shares.set(entry.name, share);
        remainingCapacity -= share;
        remainingWeight -= entry.weight;
    }
    return shares;
}
