/** Definitions of remote methods by the schemas of their messages. */
import {z} from 'zod';

/** A method name with the schemas of its parameters and its result. */
export interface Method<P, R> {
  readonly name: string;
  readonly parameters: z.ZodType<P>;
  readonly result: z.ZodType<R>;
}

/** Defines a method; its types are inferred from the schemas. */
export function defineMethod<P, R>(
  name: string,
  parameters: z.ZodType<P>,
  result: z.ZodType<R>,
): Method<P, R> {
  return {name, parameters, result};
}

/** Extracts the type of the parameters from a method definition. */
export type ParametersOf<M> = M extends Method<infer P, unknown> ? P : never;

/** Extracts the type of the result from a method definition. */
export type ResultOf<M> = M extends Method<unknown, infer R> ? R : never;
