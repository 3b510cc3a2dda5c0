import { contentTrait, partTrait } from "@filbertrelay/policy/ingress";
import type { RequestTraits } from "@filbertrelay/policy/ingress";
import { createHash } from "node:crypto";
import type { AdmittedRequest } from "./admitted.js";

/** Length of the digest of a content in hexadecimal digits. */
const digestLength = 24;

/** What a request can have in common with others that crash endpoints; its content is digested when first asked for. */
export function describeTraits({ caller, customer, description }: AdmittedRequest): RequestTraits {
    let content: ReturnType<RequestTraits["content"]> | undefined;
    return {
        parts: (description.prompt?.parts ?? []).map(({ id }) => partTrait(id)),
        content: () => {
            content ??= contentTrait(
                createHash("sha256").update(JSON.stringify([customer?.name, caller.hostname, caller.method, caller.target]))
                    .update(caller.body).digest("hex").slice(0, digestLength),
            );
            return content;
        },
    };
}
