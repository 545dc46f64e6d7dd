/** Policies of the request path, each a function passed in. */

/** Policies of the request service. */
export type RequestPolicies = Record<string, never>;
