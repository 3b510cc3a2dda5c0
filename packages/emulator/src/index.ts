/** Engine model, traces, replay and experiments under a virtual clock. */
export {};
