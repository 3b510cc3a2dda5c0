// Plays random schedules against copies of the store: node --import tsx scripts/check-copies.mjs SCHEDULES SEED
import fc from "fast-check";
import { CopySimulation, schedules } from "../features/support/copysimulation.ts";

const [numRuns = 20_000, seed = 20_261_204] = process.argv.slice(2).map(Number);
fc.assert(fc.property(schedules, steps => new CopySimulation().run(steps)), { numRuns, seed });
console.log(`${numRuns} schedules of seed ${seed} kept every copy exact.`);
