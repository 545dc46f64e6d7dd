/**
 * Schemas that manifest and settings share. The message of each check is the
 * phrase that a finding puts after "expected".
 */
import {z} from 'zod';

/** Longest duration that a file may state: a day, milliseconds. */
export const LONGEST_DURATION = 86_400_000;

/** A whole number within bounds, both inclusive. */
export function wholeNumber(low: number, high: number, unit = '') {
  const suffix = unit === '' ? '' : ` ${unit}`;
  const error = `a whole number from ${low} to ${high}${suffix}`;
  return z.number({error}).int({error}).min(low, {error}).max(high, {error});
}

/** A duration in milliseconds. */
export function milliseconds(low = 0, high = LONGEST_DURATION) {
  return wholeNumber(low, high, 'milliseconds');
}

/** A number above zero, at most `high`. */
export function positiveNumber(high: number) {
  const error = `a number above 0, at most ${high}`;
  return z.number({error}).positive({error}).max(high, {error});
}

const NAME_TEXT = 'lower-case letters, digits and hyphens, 63 at most';

/** A name of the manifest or the settings. */
export const nameSchema = z
  .string({error: NAME_TEXT})
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {error: NAME_TEXT});

const ADDRESS_TEXT = 'an IP number and port like 10.0.0.1:5432';
const ADDRESS_PATTERN =
  /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const LARGEST_OCTET = 255;
const LARGEST_PORT = 65_535;

function isAddress(text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) {
    return false;
  }
  const numbers = match.slice(1).map(Number);
  const port = numbers.pop() ?? 0;
  return (
    numbers.every(octet => octet <= LARGEST_OCTET) &&
    port >= 1 &&
    port <= LARGEST_PORT
  );
}

/** An address: `ip:port`. */
export const addressSchema = z
  .string({error: ADDRESS_TEXT})
  .refine(isAddress, {error: ADDRESS_TEXT});
