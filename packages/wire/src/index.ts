/** Frames, peer authentication and checked messages between entry hosts. */
export * from "./network.js";
