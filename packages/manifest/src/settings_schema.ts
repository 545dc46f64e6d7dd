/** Schema of a proxy's settings; its types are inferred. */
import {Result} from 'ts-results';
import {z} from 'zod';

import {Finding} from './finding';
import {
  addressSchema,
  milliseconds,
  nameSchema,
  positiveNumber,
  wholeNumber,
} from './schema_parts';
import {readYamlDocument} from './yaml_document';

const SHORTEST_OPERATOR_TOKEN = 16;
const LONGEST_OPERATOR_TOKEN = 200;
const OPERATOR_TOKEN_TEXT = `a text of ${SHORTEST_OPERATOR_TOKEN} to ${LONGEST_OPERATOR_TOKEN} characters`;

const SECOND = 1000;
const MINUTE = 60 * SECOND;
const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** Where the proxy listens. */
export const listenAddressesSchema = z.strictObject({
  /** HTTP for callers. */
  callers: addressSchema,
  /** JSON-RPC over TCP for other proxies. */
  peers: addressSchema,
  /** HTTP for operators: their methods, metrics and health. */
  operators: addressSchema,
});

/** The platform's service. */
export const platformSettingsSchema = z.strictObject({
  /** Tried in turn. */
  addresses: z.array(addressSchema).min(1),
  /** Longest wait for one answer. */
  requestTimeout: milliseconds(10, MINUTE).default(2 * SECOND),
  /** Requests on their way at a time. */
  concurrentRequests: wholeNumber(1, 1000).default(8),
});

/** Bounds on what the proxy takes on. */
export const limitsSchema = z.strictObject({
  /** Largest body of a caller's request, bytes. */
  maximumBodyBytes: wholeNumber(KIBIBYTE, 64 * MEBIBYTE).default(MEBIBYTE),
  /** Largest message between proxies or from a target, bytes. */
  maximumFrameBytes: wholeNumber(64 * KIBIBYTE, 64 * MEBIBYTE).default(
    4 * MEBIBYTE,
  ),
  maximumCallerConnections: wholeNumber(1, 1_000_000).default(20_000),
  /** Idle callers' connections are closed after this. */
  callerIdleTimeout: milliseconds(SECOND).default(MINUTE),
  /** Longest time from a request's first byte to its last. */
  requestReadTimeout: milliseconds(100, MINUTE).default(10 * SECOND),
  /** Idle connections to targets are closed after this. */
  targetIdleTimeout: milliseconds(SECOND).default(MINUTE),
  /** Transactions without a statement for this long are rolled back. */
  transactionIdleTimeout: milliseconds(100).default(30 * SECOND),
  /** Requests that wait for a target, per group. */
  queueLength: wholeNumber(1, 1_000_000).default(1000),
  /** Longest deadline that a caller may ask for, from now. */
  longestDeadline: milliseconds(SECOND).default(5 * MINUTE),
  /**
   * Share of a target's connections that all proxies together use for
   * requests; the rest is kept for control.
   */
  targetConnectionShare: positiveNumber(1).default(0.9),
});

/** How often the proxy does what it does regularly. */
export const intervalsSchema = z.strictObject({
  /** Shortest time between heartbeats to the same peers. */
  peerExchange: milliseconds(20, MINUTE).default(200),
  /** Longest wait for a peer's answer to a heartbeat. */
  peerExchangeTimeout: milliseconds(10, MINUTE).default(300),
  /** Time that a silent peer has to refute the suspicion. */
  peerSuspicion: milliseconds(10, MINUTE).default(400),
  /** Heartbeats of targets' position streams. */
  targetHeartbeat: milliseconds(10, MINUTE).default(100),
  /** Reads of the platform's manifest row, by the proxies that poll it. */
  manifestPoll: milliseconds(50, MINUTE).default(500),
  /** Reads of the platform's list of instances, by the same. */
  instancesPoll: milliseconds(50, MINUTE).default(1000),
  /** Writes of audit entries and leaderships to the platform. */
  auditFlush: milliseconds(50, MINUTE).default(SECOND),
});

const LOG_LEVEL_TEXT = 'debug, info, warn or error';

/** Levels of log lines, the least important first. */
export const logLevelSchema = z.enum(['debug', 'info', 'warn', 'error'], {
  error: LOG_LEVEL_TEXT,
});

/** Settings of one proxy. */
export const settingsSchema = z.strictObject({
  /** Format of the settings. */
  format: z.literal(1, {error: 'the format 1'}),
  /** Id, unique among proxies. */
  proxy: nameSchema,
  dataCentre: nameSchema,
  addresses: listenAddressesSchema,
  platform: platformSettingsSchema,
  /** Peer addresses of some other proxies. */
  seeds: z.array(addressSchema).default([]),
  /** Operators show it; compared in constant time. */
  operatorToken: z
    .string({error: OPERATOR_TOKEN_TEXT})
    .min(SHORTEST_OPERATOR_TOKEN, {error: OPERATOR_TOKEN_TEXT})
    .max(LONGEST_OPERATOR_TOKEN, {error: OPERATOR_TOKEN_TEXT}),
  /** The least important log lines that are written. */
  logLevel: logLevelSchema.default('info'),
  limits: limitsSchema.prefault({}),
  intervals: intervalsSchema.prefault({}),
});
export type Settings = z.infer<typeof settingsSchema>;

const MAXIMUM_SETTINGS_BYTES = 64 * KIBIBYTE;

/** Reads settings; on errors every finding of the file is given. */
export function readSettings(
  text: string,
  fileName: string,
): Result<Settings, Finding[]> {
  return readYamlDocument(text, fileName, settingsSchema, {
    maximumBytes: MAXIMUM_SETTINGS_BYTES,
    secretKeys: ['operatorToken'],
  });
}
