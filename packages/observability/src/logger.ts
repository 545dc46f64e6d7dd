/**
 * Logs as JSON lines through `debug`. The fields of a line are a closed list,
 * so that no statement parameter and no token gets into a log by accident.
 */
import type {TimerService} from '@kelpstep/runtime';
import createDebug from 'debug';
import {format} from 'node:util';

/** Levels, the most talkative first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** What a log line may hold besides time, level, part and event. */
export interface LogFields {
  readonly requestId?: string;
  readonly method?: string;
  readonly group?: string;
  readonly kind?: string;
  readonly error?: string;
  readonly outcome?: string;
  readonly target?: string;
  readonly peer?: string;
  readonly address?: string;
  readonly term?: number;
  readonly version?: number;
  /** Version that was known before. */
  readonly known?: number;
  readonly count?: number;
  readonly milliseconds?: number;
  /** Targets that were tried. */
  readonly attempts?: number;
  /** Log position, `term.position`. */
  readonly position?: string;
  readonly epoch?: number;
  readonly step?: string;
  readonly reason?: string;
  /** Text for people, without anything that a caller sent. */
  readonly message?: string;
}

/** Writes log lines of one part of the process. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** True if lines of the lowest level are written; to save making them. */
  isDebugEnabled(): boolean;
  /** A logger for another part. */
  forPart(part: string): Logger;
}

/** Takes a finished line without its line feed. */
export type LineWriter = (line: string) => void;

/** What a logger is made of. */
export interface LoggerOptions {
  /** Part of the process, for example `proxy`. */
  readonly part: string;
  /** Proxy id, in every line. */
  readonly proxy: string;
  readonly timer: TimerService;
  /** Standard error by default. */
  readonly writeLine?: LineWriter;
}

const ROOT_NAMESPACE = 'kelpstep';

function writeToStandardError(line: string): void {
  process.stderr.write(line + '\n');
}

/** Lines of other libraries are wrapped, so that all lines are JSON. */
function formatArguments(this: createDebug.Debugger, values: unknown[]): void {
  const line = this.namespace.startsWith(`${ROOT_NAMESPACE}:`)
    ? String(values[0])
    : JSON.stringify({part: this.namespace, message: format(...values)});
  values.splice(0, values.length, line);
}

/** Namespaces of `debug` for all lines from a level upwards. */
export function logNamespaces(lowest: LogLevel): string {
  return LOG_LEVELS.slice(LOG_LEVELS.indexOf(lowest))
    .map(level => `${ROOT_NAMESPACE}:*:${level}`)
    .join(',');
}

/**
 * Chooses what is logged: the `DEBUG` variable if it is set, for example
 * `kelpstep:proxy:*`, else all from a level upwards.
 */
export function enableLogs(lowest: LogLevel, debugVariable?: string): void {
  createDebug.formatArgs = formatArguments;
  createDebug.enable(debugVariable || logNamespaces(lowest));
}

/** Creates the logger of a part. */
export function createLogger(options: LoggerOptions): Logger {
  const {part, proxy, timer} = options;
  const writeLine = options.writeLine ?? writeToStandardError;

  function createLevel(level: LogLevel): createDebug.Debugger {
    const log = createDebug(`${ROOT_NAMESPACE}:${part}:${level}`);
    log.log = (line: string) => writeLine(line);
    return log;
  }

  function createWriter(level: LogLevel, log = createLevel(level)) {
    return (event: string, fields?: LogFields) => {
      if (log.enabled) {
        const time = new Date(timer.wallClock()).toISOString();
        log(
          escapeDirectives(
            JSON.stringify({time, level, proxy, part, event, ...fields}),
          ),
        );
      }
    };
  }

  const debug = createLevel('debug');
  return {
    debug: createWriter('debug', debug),
    info: createWriter('info'),
    warn: createWriter('warn'),
    error: createWriter('error'),
    isDebugEnabled: () => debug.enabled,
    forPart: other => createLogger({...options, part: other}),
  };
}

/** `debug` reads `%%` as a per cent sign. */
function escapeDirectives(line: string): string {
  return line.replaceAll('%', '%%');
}
