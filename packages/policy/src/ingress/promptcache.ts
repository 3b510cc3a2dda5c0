import type { EndpointId } from "@filbertrelay/kernel";

/** A part of a prompt. Requests with equal leading parts can share cached computation. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** A host's estimate of which prompt parts each engine has cached, from the prompts that it sent. */
export interface PromptCacheModel {
    /** Records that an engine computes a prompt and caches it. */
    recordPrompt(endpointId: EndpointId, parts: readonly PromptPart[]): void;
    /** Tokens of the leading parts that the engine has cached. */
    cachedTokens(endpointId: EndpointId, parts: readonly PromptPart[]): number;
    /** Drops the state of an engine that has stopped or restarted. */
    forget(endpointId: EndpointId): void;
}

/** Creates a model that evicts the least recently used parts of an engine once it exceeds the capacity. */
export function createPromptCacheModel(capacityTokens: number): PromptCacheModel {
    const engines = new Map<EndpointId, { readonly parts: Map<string, number>; tokens: number; }>();
    return {
        recordPrompt: (endpointId, parts) => {
            const engine = engines.get(endpointId) ?? { parts: new Map<string, number>(), tokens: 0 };
            engines.set(endpointId, engine);
            // Marked as used from last to first, so that a prefix is never evicted before the parts that follow it.
            for (const part of parts.toReversed()) {
                engine.tokens += part.tokens - (engine.parts.get(part.id) ?? 0);
                engine.parts.delete(part.id);
                engine.parts.set(part.id, part.tokens);
            }
            for (const [id, tokens] of engine.parts) {
                if (engine.tokens <= capacityTokens) {
                    break;
                }
                engine.parts.delete(id);
                engine.tokens -= tokens;
            }
        },
        cachedTokens: (endpointId, parts) => {
            const known = engines.get(endpointId)?.parts;
            let tokens = 0;
            for (const part of parts) {
                if (known?.has(part.id) !== true) {
                    break;
                }
                tokens += part.tokens;
            }
            return tokens;
        },
        forget: endpointId => void engines.delete(endpointId),
    };
}
