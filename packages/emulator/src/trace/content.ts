import type { PromptMessage } from "@filbertrelay/policy";
import { charactersPerToken, hashText } from "@filbertrelay/policy";
import { createRandom } from "../random.js";

const vocabulary =
    "the cistern wall lime coat crack depth crew water north joint dry mix cure hour bag order print towel screen ink dye lot press sheet artwork colour edge mesh wash fold note client farm town week level pump seal lid"
        .split(" ");

/** Expands a named part of a prompt to text of the given length in tokens of four characters. */
export function expandPart(name: string, tokens: number): string {
    const length = tokens * charactersPerToken;
    const random = createRandom(hashText(name));
    let text = `${name}:`;
    while (text.length < length) {
        text += ` ${random.pick(vocabulary)}`;
    }
    return text.slice(0, length);
}

/** Expands the parts of a traced request to chat messages; the texts of shared parts are kept in `texts`. */
export function expandMessages(
    parts: readonly (readonly [string, number])[],
    texts = new Map<string, string>(),
): readonly PromptMessage[] {
    const contents = parts.map(([name, tokens]) => {
        const key = `${name}/${tokens}`;
        const text = texts.get(key) ?? expandPart(name, tokens);
        texts.set(key, text);
        return text;
    });
    const [system = "", ...user] = contents;
    return [{ role: "system", content: system }, { role: "user", content: user.join("\n") }];
}
