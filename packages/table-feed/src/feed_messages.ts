/** Messages between a proxy that hands tables on and its subscribers. */
import type {StoredRow} from '@kelpstep/platform';
import {defineMethod} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import {gunzipSync, gzipSync} from 'node:zlib';
import {z} from 'zod';

import {presentProxySchema} from './distributor_row';
import type {TableUpdate} from './table_copy';

const rowSchema = z
  .object({
    key: z.string(),
    /** Left out if the row was removed, or its bytes can't be read. */
    value: z.unknown().optional(),
    isRemoved: z.boolean(),
    version: z.number(),
  })
  .transform((row): StoredRow => ({...row, value: row.value}));

const updatesSchema = z.array(
  z.object({
    table: z.string(),
    after: z.number().optional(),
    version: z.number(),
    rows: z.array(rowSchema),
  }),
);

/** News of the tables, and how current the sender's copies are with them. */
export const newsSchema = z.object({
  /**
   * Milliseconds since each table was known to be complete; a table is left out
   * if it never was.
   */
  ages: z.record(z.string(), z.number().nonnegative()),
  updates: updatesSchema.optional(),
  /** The updates as text, compressed, in base64. */
  packed: z.string().optional(),
});
export type News = z.infer<typeof newsSchema>;

const subscriptionSchema = z.object({
  subscriber: presentProxySchema,
  /** Versions of the subscriber's copies, by table. */
  versions: z.record(z.string(), z.number()),
});

/** Asks for what the sender lacks now, and for all news from then on. */
export const feedSubscribe = defineMethod(
  'feed.subscribe',
  subscriptionSchema,
  newsSchema,
);

/** Notification to a subscriber: news. */
export const FEED_NEWS = 'feed.news';
/** Notification of a subscriber: it lives. */
export const FEED_HEARTBEAT = 'feed.heartbeat';
/** Period of signs of life, both ways: news, and heartbeats of subscribers. */
export const LIFE_PERIOD: Milliseconds = 600;

/** Updates with a longer text are compressed. */
const PACKED_FROM_CHARACTERS = 800;

/** The updates as a message carries them. */
export function packUpdates(
  updates: readonly TableUpdate[],
): Pick<News, 'updates' | 'packed'> {
  if (updates.length === 0) {
    return {};
  }
  const text = JSON.stringify(updates);
  return text.length < PACKED_FROM_CHARACTERS
    ? {updates: updates as z.infer<typeof updatesSchema>}
    : {packed: gzipSync(text).toString('base64')};
}

/** The updates of a message. Throws if it carries something else. */
export function unpackUpdates({updates, packed}: News): TableUpdate[] {
  if (packed === undefined) {
    return updates ?? [];
  }
  const text = gunzipSync(Buffer.from(packed, 'base64')).toString('utf8');
  return updatesSchema.parse(JSON.parse(text));
}
