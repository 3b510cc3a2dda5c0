import { consola } from "consola";

/** Asks one question each; an implementation repeats a question until the answer is acceptable. */
export interface Ask {
    text(
        question: string,
        options?: { readonly initial?: string; readonly check?: (answer: string) => string | undefined; },
    ): Promise<string>;
    choose<const T extends string>(question: string, choices: readonly T[]): Promise<T>;
    confirm(question: string, initial: boolean): Promise<boolean>;
}

/** Asks on the terminal. */
export const terminalAsk: Ask = {
    async text(question, options = {}) {
        for (;;) {
            const initial = options.initial === undefined ? {} : { default: options.initial, placeholder: options.initial };
            const answer = (await consola.prompt(question, { type: "text", cancel: "reject", ...initial })).trim();
            const fault = options.check?.(answer);
            if (fault === undefined) {
                return answer;
            }
            consola.warn(fault);
        }
    },
    choose: async (question, choices) => {
        const chosen = await consola.prompt(question, { type: "select", cancel: "reject", options: [...choices] });
        return chosen as typeof choices[number];
    },
    confirm: (question, initial) => consola.prompt(question, { type: "confirm", cancel: "reject", initial }),
};
