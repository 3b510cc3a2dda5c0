import { Given, When } from "@cucumber/cucumber";
import { notExecutedResponse, renderEvent, renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import type { EngineRequest } from "@filbertrelay/platform/standins";
import type { CallerResponse } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface SilenceWorld extends IngressWorld {
    answer: CallerResponse;
}

/** A refusal that names its request, as on a connection that was in use before. */
const refuse = ({ headers }: EngineRequest): string =>
    notExecutedResponse.replace(
        "Content-Length",
        `X-Filbertrelay-Attempt-Id: ${headers["x-filbertrelay-attempt-id"]}\r\nContent-Length`,
    );

Given("engines of which the first pauses within a stream and the next refuses it", function(this: SilenceWorld) {
    const events = (from: number, to: number): string =>
        Array.from({ length: to - from + 1 }, (_, index) => renderEvent(from + index)).join("");
    let count = 0;
    this.ingress.setBehaviours((received, { send }) => {
        count += 1;
        const from = Number(received.headers["last-event-id"] ?? 0) + 1;
        if (count === 1) {
            send(renderStreamHead(received) + events(1, 3));
            setTimeout(() => send(events(4, 6) + streamEnd), 1_300);
        }
        else {
            send(count === 2 ? refuse(received) : renderStreamHead(received) + events(from, 6) + streamEnd);
        }
    });
});

When("a caller sends a {string} request", async function(this: SilenceWorld, route: string) {
    this.answer = await this.ingress.send(route);
});
