import type { Configuration } from "@filbertrelay/configuration";
import { createHash } from "node:crypto";

/** A customer declared in the configuration. */
export type Customer = Configuration["customers"][number];

const bearerPattern = /^Bearer (\S{8,256})$/;

/** Authenticates customers and operators by the key in the `Authorization` header; only hashes of keys are stored. */
export class Authenticator {
    readonly #customers = new Map<string, Customer>();
    readonly #operatorHashes: ReadonlySet<string>;

    constructor(configuration: Configuration) {
        for (const customer of configuration.customers) {
            customer.keyHashes.forEach(hash => this.#customers.set(hash, customer));
        }
        this.#operatorHashes = new Set(configuration.operatorKeyHashes);
    }

    /** The customer whose key the header holds; `undefined` when it holds none. */
    customer(authorization: string | undefined): Customer | undefined {
        const hash = hashBearer(authorization);
        return hash === undefined ? undefined : this.#customers.get(hash);
    }

    /** Whether the header holds an operator's key. */
    isOperator(authorization: string | undefined): boolean {
        const hash = hashBearer(authorization);
        return hash !== undefined && this.#operatorHashes.has(hash);
    }
}

// Keys are looked up by their hash, so that the timing of the comparison doesn't leak information about a key.
function hashBearer(authorization: string | undefined): string | undefined {
    const key = bearerPattern.exec(authorization ?? "")?.[1];
    return key === undefined ? undefined : createHash("sha256").update(key).digest("hex");
}
