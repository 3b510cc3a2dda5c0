import { declareTopic } from "@filbertrelay/wire";
import * as z from "zod";

/** A call whose reply is its request. */
export const echoTopic = declareTopic("test.echo", { request: z.object({}), reply: z.object({}) });
