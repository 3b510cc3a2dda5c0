import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Hashes text to 16 hexadecimal digits with xxHash64, chained to the hash of what precedes it. */
export function chainHash(text: string, previous: string): string {
    return hasher.h64ToString(text, previous === "" ? 0n : BigInt(`0x${previous}`));
}
