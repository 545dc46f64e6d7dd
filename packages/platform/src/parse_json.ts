/** Reads JSON of a known form. */
import {Err, Ok, Result} from 'ts-results';
import {z} from 'zod';

/** A reader of texts; what is no JSON, or of another form, is an error. */
export function parseJson<T>(schema: z.ZodType<T>) {
  return (body: string): Result<T, string> => {
    try {
      const parsed = schema.safeParse(JSON.parse(body));
      return parsed.success ? Ok(parsed.data) : Err(parsed.error.message);
    } catch (error) {
      return Err(String(error));
    }
  };
}
