/** Messages between a proxy that distributes tables and its subscribers. */
import type {StoredRow} from '@kelpstep/platform';
import {defineMethod} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import {gunzipSync, gzipSync} from 'node:zlib';
import {z} from 'zod';

import {proxyDescriptorSchema} from './distributor_row';
import type {TableUpdate} from './table_copy';

const rowSchema = z
  .object({
    key: z.string(),
    /**
     * Value of the row; left out if the row was removed or its value can't be
     * read.
     */
    value: z.unknown().optional(),
    isRemoved: z.boolean(),
    version: z.number(),
  })
  .transform((row): StoredRow => ({...row, value: row.value}));

const updatesSchema = z.array(
  z.object({
    table: z.string(),
    after: z.number().optional(),
    era: z.number().default(0),
    version: z.number(),
    rows: z.array(rowSchema),
  }),
);

/** Table updates, and the age of the sender's copies including them. */
export const feedMessageSchema = z.object({
  /**
   * Milliseconds since each table was known to be up to date; a table is left
   * out if it never was.
   */
  ages: z.record(z.string(), z.number().nonnegative()),
  /** Eras of the sender's copies; 0 if left out. */
  eras: z.record(z.string(), z.number()).default({}),
  updates: updatesSchema.optional(),
  /** The updates as JSON, gzipped and base64-encoded, in place of `updates`. */
  packed: z.string().optional(),
});
export type FeedMessage = z.infer<typeof feedMessageSchema>;

const copyPositionsSchema = z.object({
  /** Versions of the subscriber's copies, by table. */
  versions: z.record(z.string(), z.number()),
  /** Eras of these versions; 0 if left out. */
  eras: z.record(z.string(), z.number()).default({}),
});
export type CopyPositions = z.infer<typeof copyPositionsSchema>;

const subscriptionSchema = copyPositionsSchema.extend({
  subscriber: proxyDescriptorSchema,
});

/**
 * Requests the updates that the subscriber lacks, and all later ones as
 * notifications.
 */
export const feedSubscribe = defineMethod(
  'feed.subscribe',
  subscriptionSchema,
  feedMessageSchema,
);

/** Notification that carries updates to a subscriber. */
export const FEED_UPDATE = 'feed.news';
/** Heartbeat notification from a subscriber. */
export const FEED_HEARTBEAT = 'feed.heartbeat';
/** Period of the updates to subscribers and of the heartbeats from them. */
export const HEARTBEAT_PERIOD_MS: Milliseconds = 600;

/** Updates whose JSON is at least this long are compressed. */
const COMPRESSION_THRESHOLD_CHARACTERS = 800;

/**
 * Ages of the tables of which the sender's copy is not of an earlier era than
 * the receiver's. Of the others they say nothing: the sender may not know of
 * the later era, and its updates are not taken.
 */
export function agesByEra(
  {ages, eras}: FeedMessage,
  receiverEra: (table: string) => number,
): Array<[table: string, age: Milliseconds]> {
  return Object.entries(ages).filter(
    ([table]) => (eras[table] ?? 0) >= receiverEra(table),
  );
}

/** Encodes updates for a message, compressed if they are large. */
export function packUpdates(
  updates: readonly TableUpdate[],
): Pick<FeedMessage, 'updates' | 'packed'> {
  if (updates.length === 0) {
    return {};
  }
  const text = JSON.stringify(updates);
  return text.length < COMPRESSION_THRESHOLD_CHARACTERS
    ? {updates: updates as z.infer<typeof updatesSchema>}
    : {packed: gzipSync(text).toString('base64')};
}

/**
 * Decodes the updates of a message. Throws if compressed updates are malformed.
 */
export function unpackUpdates({updates, packed}: FeedMessage): TableUpdate[] {
  if (packed === undefined) {
    return updates ?? [];
  }
  const text = gunzipSync(Buffer.from(packed, 'base64')).toString('utf8');
  return updatesSchema.parse(JSON.parse(text));
}
