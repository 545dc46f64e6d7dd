/**
 * Schemas shared by the manifest and the settings. The message of each check
 * is the phrase that a finding shows after "expected".
 */
import {z} from 'zod';

/** Maximum duration in a file unless a field has its own: a day. */
export const MAXIMUM_DURATION_MS = 86_400_000;

/** Schema of a whole number from `low` to `high`, both inclusive. */
export function wholeNumber(low: number, high: number, unit = '') {
  const suffix = unit === '' ? '' : ` ${unit}`;
  const error = `a whole number from ${low} to ${high}${suffix}`;
  return z.number({error}).int({error}).min(low, {error}).max(high, {error});
}

/** Schema of a duration in whole milliseconds from `low` to `high`. */
export function milliseconds(low = 0, high = MAXIMUM_DURATION_MS) {
  return wholeNumber(low, high, 'milliseconds');
}

/** Schema of a number above zero, at most `high`. */
export function positiveNumber(high: number) {
  const error = `a number above 0, at most ${high}`;
  return z.number({error}).positive({error}).max(high, {error});
}

const NAME_DESCRIPTION = 'lower-case letters, digits and hyphens, 63 at most';

/**
 * Name of lower-case letters, digits and hyphens, at most 63 characters long.
 */
export const nameSchema = z
  .string({error: NAME_DESCRIPTION})
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {error: NAME_DESCRIPTION});

const ADDRESS_DESCRIPTION = 'an IP number and port like 10.0.0.1:5432';
const ADDRESS_PATTERN =
  /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAXIMUM_OCTET = 255;
const MAXIMUM_PORT = 65_535;

function isAddress(text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) {
    return false;
  }
  const numbers = match.slice(1).map(Number);
  const port = numbers.pop() ?? 0;
  return (
    numbers.every(octet => octet <= MAXIMUM_OCTET) &&
    port >= 1 &&
    port <= MAXIMUM_PORT
  );
}

/** An IPv4 address with a port: `ip:port`. */
export const addressSchema = z
  .string({error: ADDRESS_DESCRIPTION})
  .refine(isAddress, {error: ADDRESS_DESCRIPTION});
