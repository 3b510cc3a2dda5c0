import type { EndpointId } from "@filbertrelay/kernel";

/** A part of a prompt, in the order of the prompt; requests with equal leading parts share their computation. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a host believes the engines keep of the prompts that it sent them. */
export interface PromptCacheModel {
    /** Notes that an engine computes a prompt and keeps it. */
    recordPrompt(endpointId: EndpointId, parts: readonly PromptPart[]): void;
    /** Tokens of the leading parts that the engine keeps. */
    cachedTokens(endpointId: EndpointId, parts: readonly PromptPart[]): number;
    /** Forgets an engine that has ended or was started again. */
    forget(endpointId: EndpointId): void;
}

/** Creates a model that drops the least recently used parts of an engine above its capacity. */
export function createPromptCacheModel(capacityTokens: number): PromptCacheModel {
    const engines = new Map<EndpointId, { readonly parts: Map<string, number>; tokens: number; }>();
    return {
        recordPrompt: (endpointId, parts) => {
            const engine = engines.get(endpointId) ?? { parts: new Map<string, number>(), tokens: 0 };
            engines.set(endpointId, engine);
            // Touched from the last part to the first, so that a prefix is never dropped before what follows it.
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
