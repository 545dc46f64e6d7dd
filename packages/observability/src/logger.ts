/**
 * JSON-line logs through `debug`. Only fields of a fixed list can be logged, so
 * that statement parameters and tokens do not get into logs by accident.
 */
import type {TimerService} from '@kelpstep/runtime';
import createDebug from 'debug';
import {format} from 'node:util';

/** Log levels, the most verbose first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Fields of a log line besides time, level, proxy, part and event. */
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
  /** Era of the store in which versions were given out. */
  readonly era?: number;
  /** The previously known version or era. */
  readonly known?: number;
  readonly count?: number;
  readonly milliseconds?: number;
  /** Number of targets tried. */
  readonly attempts?: number;
  /** Log position, `term.position`. */
  readonly position?: string;
  readonly epoch?: number;
  readonly step?: string;
  readonly reason?: string;
  /** Human-readable text, without data that a caller sent. */
  readonly message?: string;
}

/** Writes log lines of one part of the process. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /**
   * True if debug lines are written; callers can otherwise skip preparing their
   * fields.
   */
  isDebugEnabled(): boolean;
  /** Creates a logger for another part with the same proxy id and output. */
  forPart(part: string): Logger;
}

/** Writes a formatted line, passed without a line feed. */
export type LineWriter = (line: string) => void;

export interface LoggerOptions {
  /** Part of the process, for example `proxy`. */
  readonly part: string;
  /** Proxy id, included in every line. */
  readonly proxy: string;
  readonly timer: TimerService;
  /** Receives each line; by default it is written to standard error. */
  readonly writeLine?: LineWriter;
}

const ROOT_NAMESPACE = 'kelpstep';

function writeToStandardError(line: string): void {
  process.stderr.write(line + '\n');
}

/** Converts the lines of other libraries to JSON objects as well. */
function formatArguments(this: createDebug.Debugger, values: unknown[]): void {
  const line = this.namespace.startsWith(`${ROOT_NAMESPACE}:`)
    ? String(values[0])
    : JSON.stringify({part: this.namespace, message: format(...values)});
  values.splice(0, values.length, line);
}

/** Returns the `debug` namespaces of a level and all more severe ones. */
export function logNamespaces(lowest: LogLevel): string {
  return LOG_LEVELS.slice(LOG_LEVELS.indexOf(lowest))
    .map(level => `${ROOT_NAMESPACE}:*:${level}`)
    .join(',');
}

/**
 * Selects the lines to log: by the value of the `DEBUG` variable if it is set,
 * for example `kelpstep:proxy:*`, otherwise by the least severe level.
 */
export function enableLogs(lowest: LogLevel, debugVariable?: string): void {
  createDebug.formatArgs = formatArguments;
  createDebug.enable(debugVariable || logNamespaces(lowest));
}

/**
 * Creates a logger. It writes a line only while the `debug` namespace
 * `kelpstep:PART:LEVEL` is enabled.
 */
export function createLogger(options: LoggerOptions): Logger {
  const {part, proxy, timer} = options;
  const writeLine = options.writeLine ?? writeToStandardError;

  function createLevelLogger(level: LogLevel): createDebug.Debugger {
    const log = createDebug(`${ROOT_NAMESPACE}:${part}:${level}`);
    log.log = (line: string) => writeLine(line);
    return log;
  }

  function createLevelWriter(level: LogLevel, log = createLevelLogger(level)) {
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

  const debug = createLevelLogger('debug');
  return {
    debug: createLevelWriter('debug', debug),
    info: createLevelWriter('info'),
    warn: createLevelWriter('warn'),
    error: createLevelWriter('error'),
    isDebugEnabled: () => debug.enabled,
    forPart: other => createLogger({...options, part: other}),
  };
}

/** Escapes per cent signs, which `debug` interprets as format directives. */
function escapeDirectives(line: string): string {
  return line.replaceAll('%', '%%');
}
