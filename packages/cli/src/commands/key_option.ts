/** The option that names an idempotency key: `ID` or `ID@ISSUED_AT`. */
import {IdempotencyKey, idempotencyKeySchema} from '@kelpstep/protocol';

const KEY_PATTERN = /^(.+)@(\d+)$/;

/** Type and help text of the option. */
export const KEY_OPTION = {
  type: 'string',
  describe:
    'Idempotency key ID@ISSUED_AT (milliseconds since 1970); a plain ID is ' +
    'issued at the current time',
} as const;

/** Parses a key; `wallClock` is the issue time of a plain ID. */
export function parseKey(text: string, wallClock: number): IdempotencyKey {
  const match = KEY_PATTERN.exec(text);
  const key = idempotencyKeySchema.safeParse(
    match === null
      ? {id: text, issuedAt: wallClock}
      : {id: match[1], issuedAt: Number(match[2])},
  );
  if (!key.success) {
    throw new Error('Idempotency key must have the form ID or ID@ISSUED_AT.');
  }
  return key.data;
}

/** Formats a key in the form that `parseKey` accepts. */
export function formatKey(key: IdempotencyKey): string {
  return `${key.id}@${key.issuedAt}`;
}
