import { declareEvents } from "@filbertrelay/kernel";

/** Log events about roll-outs of software versions. */
export const rolloutEvents = declareEvents({
    rolloutStarted: {
        number: 6340,
        level: "info",
        text: "A roll-out has begun.",
        action: "None; `status` in the store says how it ends.",
    },
    rolloutRefused: {
        number: 6341,
        level: "warn",
        text: "An order of a roll-out was refused.",
        action: "Correct the field that the line names and write the order again.",
    },
    rolloutPhaseChanged: {
        number: 6342,
        level: "info",
        text: "A roll-out has entered a phase, with another share of the requests.",
        action: "None.",
    },
    rolloutCompleted: {
        number: 6343,
        level: "info",
        text: "A roll-out was completed.",
        action: "None; the platform stops the endpoints of the former versions.",
    },
    rolloutReverted: {
        number: 6344,
        level: "warn",
        text: "A roll-out was reverted.",
        action: "See `reason`; write the order again once the cause is gone.",
    },
    rolloutStepFailed: {
        number: 6345,
        level: "warn",
        text: "A step of a roll-out could not be read or written.",
        action: "None at first: the next step follows. Hosts send the target nothing while steps are missing.",
    },
    rolloutRecordInvalid: {
        number: 6346,
        level: "error",
        text: "The record of a roll-out in the store can't be read.",
        action: "Check which program wrote the key; the roll-out of that service begins anew.",
    },
});
