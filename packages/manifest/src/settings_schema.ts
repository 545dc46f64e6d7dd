/** Schemas of the settings of a proxy. The types are inferred from them. */
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

const MINIMUM_OPERATOR_TOKEN_LENGTH = 16;
const MAXIMUM_OPERATOR_TOKEN_LENGTH = 200;
const OPERATOR_TOKEN_DESCRIPTION = `a text of ${MINIMUM_OPERATOR_TOKEN_LENGTH} to ${MAXIMUM_OPERATOR_TOKEN_LENGTH} characters`;

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** Addresses on which the proxy listens. */
export const listenAddressesSchema = z.strictObject({
  /** Address for callers, over HTTP. */
  callers: addressSchema,
  /** Address for other proxies, which send JSON-RPC over TCP. */
  peers: addressSchema,
  /** Address for operators, over HTTP: methods, metrics and health checks. */
  operators: addressSchema,
});

/** Connection to the platform's service. */
export const platformSettingsSchema = z.strictObject({
  /** Addresses of the service, tried in turn. */
  addresses: z.array(addressSchema).min(1),
  /** Timeout of one request. */
  requestTimeout: milliseconds(10, MINUTE_MS).default(2 * SECOND_MS),
  /** Maximum number of requests in flight. */
  concurrentRequests: wholeNumber(1, 1000).default(8),
});

/** Limits on the resources that callers and connections may use. */
export const limitsSchema = z.strictObject({
  /** Maximum size of the body of a caller's request, in bytes. */
  maximumBodyBytes: wholeNumber(KIBIBYTE, 64 * MEBIBYTE).default(MEBIBYTE),
  /** Maximum size of a message between proxies or from a target, in bytes. */
  maximumFrameBytes: wholeNumber(64 * KIBIBYTE, 64 * MEBIBYTE).default(
    4 * MEBIBYTE,
  ),
  maximumCallerConnections: wholeNumber(1, 1_000_000).default(20_000),
  /** Time after which an idle connection of a caller is closed. */
  callerIdleTimeout: milliseconds(SECOND_MS).default(MINUTE_MS),
  /** Maximum time from the first byte of a request to its last. */
  requestReadTimeout: milliseconds(100, MINUTE_MS).default(10 * SECOND_MS),
  /**
   * Time after which an idle connection to a target is closed. The value is
   * accepted, but not applied yet.
   */
  targetIdleTimeout: milliseconds(SECOND_MS).default(MINUTE_MS),
  /** Time without a statement after which a transaction is rolled back. */
  transactionIdleTimeout: milliseconds(100).default(30 * SECOND_MS),
  /**
   * Maximum number of requests per group that wait for a target. The value is
   * accepted, but not applied yet.
   */
  queueLength: wholeNumber(1, 1_000_000).default(1000),
  /** Maximum time from now to the deadline that a caller sets. */
  longestDeadline: milliseconds(SECOND_MS).default(5 * MINUTE_MS),
  /**
   * Share of a target's connections that all proxies together use for requests.
   * The rest is reserved for control connections. The value is accepted, but
   * not applied yet.
   */
  targetConnectionShare: positiveNumber(1).default(0.9),
});

/**
 * Intervals and timeouts of the periodic tasks of the proxy, in milliseconds.
 */
export const intervalsSchema = z.strictObject({
  /**
   * Base interval of the heartbeats to peers. The interval in use lengthens
   * with the number of proxies, up to a bound.
   */
  peerExchange: milliseconds(20, MINUTE_MS).default(200),
  /** Timeout of a peer's answer to a heartbeat. */
  peerExchangeTimeout: milliseconds(10, MINUTE_MS).default(300),
  /** Time within which an unresponsive peer can refute the suspicion. */
  peerSuspicion: milliseconds(10, MINUTE_MS).default(400),
  /** Interval of the heartbeats in the log position streams of targets. */
  targetHeartbeat: milliseconds(10, MINUTE_MS).default(100),
  /** Interval of reads of the manifest row, on the proxies that poll it. */
  manifestPoll: milliseconds(50, MINUTE_MS).default(500),
  /** Interval of reads of the instance list, on the proxies that poll it. */
  instancesPoll: milliseconds(50, MINUTE_MS).default(1000),
  /**
   * Interval of writes of audit entries and leaderships to the platform. The
   * value is accepted, but not applied yet.
   */
  auditFlush: milliseconds(50, MINUTE_MS).default(SECOND_MS),
});

const LOG_LEVEL_DESCRIPTION = 'debug, info, warn or error';

/** Levels of log lines, from the least to the most severe. */
export const logLevelSchema = z.enum(['debug', 'info', 'warn', 'error'], {
  error: LOG_LEVEL_DESCRIPTION,
});

/** Schema of the settings file of one proxy. */
export const settingsSchema = z.strictObject({
  /** Format version of the settings file. */
  format: z.literal(1, {error: 'the format 1'}),
  /** Id of the proxy, unique among all proxies. */
  proxy: nameSchema,
  dataCentre: nameSchema,
  addresses: listenAddressesSchema,
  platform: platformSettingsSchema,
  /** Peer addresses of some other proxies, used to discover the rest. */
  seeds: z.array(addressSchema).default([]),
  /** Bearer token of operators, compared in constant time. */
  operatorToken: z
    .string({error: OPERATOR_TOKEN_DESCRIPTION})
    .min(MINIMUM_OPERATOR_TOKEN_LENGTH, {error: OPERATOR_TOKEN_DESCRIPTION})
    .max(MAXIMUM_OPERATOR_TOKEN_LENGTH, {error: OPERATOR_TOKEN_DESCRIPTION}),
  /** Minimum level of the log lines that are written. */
  logLevel: logLevelSchema.default('info'),
  limits: limitsSchema.prefault({}),
  intervals: intervalsSchema.prefault({}),
});
export type Settings = z.infer<typeof settingsSchema>;

const MAXIMUM_SETTINGS_BYTES = 64 * KIBIBYTE;

/**
 * Reads the text of a settings file. If there are errors, returns every finding
 * of the file.
 */
export function readSettings(
  text: string,
  fileName: string,
): Result<Settings, Finding[]> {
  return readYamlDocument(text, fileName, settingsSchema, {
    maximumBytes: MAXIMUM_SETTINGS_BYTES,
    secretKeys: ['operatorToken'],
  });
}
