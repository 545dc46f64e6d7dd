/** The option that names an idempotency key: `ID` or `ID@ISSUED_AT`. */
import {IdempotencyKey, idempotencyKeySchema} from '@kelpstep/protocol';

const KEY_PATTERN = /^(.+)@(\d+)$/;

/** Describes the option. */
export const KEY_OPTION = {
  type: 'string',
  describe:
    'Idempotency key ID@ISSUED_AT (milliseconds since 1970); a lone ID is ' +
    'issued now',
} as const;

/** Reads a key; throws if it can't be one. */
export function parseKey(text: string, wallClock: number): IdempotencyKey {
  const match = KEY_PATTERN.exec(text);
  const key = idempotencyKeySchema.safeParse(
    match === null
      ? {id: text, issuedAt: wallClock}
      : {id: match[1], issuedAt: Number(match[2])},
  );
  if (!key.success) {
    throw new Error('--key has to look like ID or ID@ISSUED_AT.');
  }
  return key.data;
}

/** Writes a key as the option takes it. */
export function formatKey(key: IdempotencyKey): string {
  return `${key.id}@${key.issuedAt}`;
}
