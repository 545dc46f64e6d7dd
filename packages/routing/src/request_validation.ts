/** Validates the common fields of requests: account, names, deadline, token. */
import {digestKey} from '@kelpstep/accounts';
import type {Group, Manifest, RequestKind} from '@kelpstep/manifest';
import {Failure, LogPosition, createFailure} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import {
  EMPTY_SESSION,
  Session,
  decodeToken,
  hasRoom,
  positionOf,
} from '@kelpstep/session';
import {Err, Ok, Result} from 'ts-results';

import type {RequestLimits} from './limits';

export interface RequestFields {
  readonly group: string;
  readonly kind?: string | undefined;
  readonly token?: string | undefined;
  readonly deadline?: number | undefined;
  readonly accountKey?: string | undefined;
}

export type RequestSource =
  | 'caller'
  /**
   * The sender is another proxy, which has checked the caller's account key.
   */
  | 'proxy';

/** The common fields of a request, resolved and valid. */
export interface ValidatedRequest {
  readonly manifest: Manifest;
  readonly group: Group;
  readonly worth: number;
  /** Monotonic time by which the request must be answered. */
  readonly deadline: Milliseconds;
  readonly session: Session;
  /**
   * Position of the group in the session's token; undefined without a token.
   */
  readonly seen: LogPosition | undefined;
}

/** Groups and kinds of a manifest by name. */
interface ManifestIndex {
  readonly manifest: Manifest;
  readonly groups: ReadonlyMap<string, Group>;
  readonly kinds: ReadonlyMap<string, RequestKind>;
  /** Undefined if callers need no account key. */
  readonly keyDigests: ReadonlySet<string> | undefined;
}

function indexManifest(manifest: Manifest): ManifestIndex {
  return {
    manifest,
    groups: new Map(manifest.groups.map(group => [group.name, group])),
    kinds: new Map(manifest.kinds.map(kind => [kind.name, kind])),
    keyDigests:
      manifest.accounts &&
      new Set(manifest.accounts.flatMap(({keyDigests}) => keyDigests)),
  };
}

function hasAccount({keyDigests}: ManifestIndex, accountKey: string): boolean {
  return keyDigests?.has(digestKey(Buffer.from(accountKey))) ?? true;
}

/** Returns the resolved fields, or the failure to answer the request with. */
export type RequestValidator = (
  fields: RequestFields,
  source: RequestSource,
) => Result<ValidatedRequest, Failure>;

export interface RequestValidatorOptions {
  readonly timer: TimerService;
  readonly limits: RequestLimits;
  manifest(): Manifest | undefined;
  /** False while a newer manifest may be in force elsewhere. */
  isManifestCurrent(): boolean;
}

/**
 * Retry delay in which a proxy normally learns whether a newer manifest is in
 * force.
 */
const MANIFEST_CONFIRMATION_TIME_MS: Milliseconds = 300;

/** The validator indexes each manifest once. */
export function createRequestValidator(
  options: RequestValidatorOptions,
): RequestValidator {
  const {timer, limits} = options;
  let index: ManifestIndex | undefined;

  function currentIndex(): ManifestIndex | undefined {
    const manifest = options.manifest();
    if (manifest === undefined) {
      return undefined;
    }
    if (index?.manifest !== manifest) {
      index = indexManifest(manifest);
    }
    return index;
  }

  /**
   * Converts the caller's wall-clock deadline to monotonic time. Without one,
   * the deadline of the kind or the default applies.
   */
  function resolveDeadline(
    requested: number | undefined,
    kind: RequestKind | undefined,
  ): Result<Milliseconds, Failure> {
    const time =
      requested === undefined
        ? (kind?.deadline ?? limits.defaultDeadline)
        : requested - timer.wallClock();
    return time <= 0
      ? Err(createFailure('DEADLINE_PASSED'))
      : Ok(timer.now() + Math.min(time, limits.maximumDeadline));
  }

  function parseSession(
    token: string | undefined,
    group: string,
  ): Result<Session, Failure> {
    const decoded = decodeToken(token ?? '');
    if (decoded.ok && !hasRoom(decoded.val, group)) {
      const message = 'The token names too many groups: begin a new session.';
      return Err(createFailure('BAD_TOKEN', {message}));
    }
    return decoded;
  }

  /**
   * Returns the failure for an unknown name. It is temporary while a newer
   * manifest that defines the name may be in force.
   */
  function rejectName(
    name: 'UNKNOWN_ACCOUNT' | 'UNKNOWN_GROUP' | 'UNKNOWN_KIND',
  ): Failure {
    return options.isManifestCurrent()
      ? createFailure(name)
      : createFailure('NOT_READY', {
          message: 'The manifest may be out of date.',
          retryAfter: MANIFEST_CONFIRMATION_TIME_MS,
        });
  }

  return (fields, source) => {
    const manifestIndex = currentIndex();
    if (manifestIndex === undefined) {
      return Err(createFailure('NOT_READY'));
    }
    if (
      source === 'caller' &&
      !hasAccount(manifestIndex, fields.accountKey ?? '')
    ) {
      return Err(rejectName('UNKNOWN_ACCOUNT'));
    }
    const group = manifestIndex.groups.get(fields.group);
    if (group === undefined) {
      return Err(rejectName('UNKNOWN_GROUP'));
    }
    const kind =
      fields.kind === undefined
        ? undefined
        : manifestIndex.kinds.get(fields.kind);
    if (fields.kind !== undefined && kind === undefined) {
      return Err(rejectName('UNKNOWN_KIND'));
    }
    const deadline = resolveDeadline(fields.deadline, kind);
    if (deadline.err) {
      return deadline;
    }
    const session = parseSession(fields.token, fields.group);
    if (session.err) {
      return session;
    }
    return Ok({
      manifest: manifestIndex.manifest,
      group,
      worth: kind?.worth ?? limits.defaultWorth,
      deadline: deadline.val,
      session: session.val,
      seen:
        fields.token === undefined
          ? undefined
          : positionOf(session.val ?? EMPTY_SESSION, fields.group),
    });
  };
}
