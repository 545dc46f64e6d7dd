/** Parses JSON that must match a schema. */
import {Err, Ok, Result} from 'ts-results';
import {z} from 'zod';

/** Creates a parser that fails on invalid JSON and on schema violations. */
export function createJsonParser<T>(schema: z.ZodType<T>) {
  return (body: string): Result<T, string> => {
    try {
      const parsed = schema.safeParse(JSON.parse(body));
      return parsed.success ? Ok(parsed.data) : Err(parsed.error.message);
    } catch (error) {
      return Err(String(error));
    }
  };
}
