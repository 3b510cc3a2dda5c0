/** Stand-ins for the platform and the endpoints. */
export {};
