/**
 * Commits a manifest: checks it, stores its body as an object and replaces the
 * manifest row with a compare-and-set.
 */
import type {ManifestRow} from '@kelpstep/protocol';
import type {PlatformClient} from '@kelpstep/platform';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';
import {Err, Ok} from 'ts-results';

import {
  CommitStep,
  callFailed,
  invalidManifest,
  unknownOutcome,
  versionConflict,
} from './commit_failure';
import {hasErrors} from './finding';
import {
  CurrentManifestRow,
  MAXIMUM_RECENT_COMMITS,
  knownCommits,
  readManifestRow,
  resolveCommit,
} from './manifest_row';
import type {AcceptedManifest, Manifest} from './manifest_schema';
import {RetryingCalls, createRetryingCalls} from './retrying_calls';
import {inspectManifest, manifestDigest} from './read_manifest';
import {replaceManifestRow} from './replace_manifest_row';
import {checkManifestUpdate} from './manifest_update';

/** A commit, with the runtime and the platform that it uses. */
export interface CommitOptions {
  readonly runtime: Runtime;
  readonly platform: PlatformClient;
  /** The YAML text. */
  readonly body: string;
  /** File name shown in findings. */
  readonly fileName: string;
  /** Version that the commit replaces; 0 for the first commit. */
  readonly expectedVersion: number;
  /**
   * Id, unique per commit. A commit can be sent again safely with the same id.
   */
  readonly commitId: string;
  readonly committedBy: string;
  /** Time after which the commit returns, even if its outcome is unknown. */
  readonly timeLimit?: Milliseconds;
}

const DEFAULT_TIMEOUT_MS = 10_000;

/** Reads the manifest in force, which the new one is checked against. */
function* readPrevious(
  platform: PlatformClient,
  calls: RetryingCalls,
  row: CurrentManifestRow,
): CommitStep<Manifest> {
  const digest = row.value?.digest ?? '';
  const object = yield* calls.retry(() => platform.getObject(digest));
  if (object.err) {
    return Err(callFailed(object.val, false));
  }
  const name = `version-${row.version}.yaml`;
  const {manifest, findings, locate} = inspectManifest(object.val, name);
  if (manifest !== undefined && manifestDigest(object.val) === digest) {
    return Ok(manifest);
  }
  // Without the previous manifest, it can't be checked that the majorities
  // overlap.
  const unreadable = locate({
    path: [],
    expected: 'a manifest in force that this release can read',
    found: `one of digest ${digest}`,
  });
  return Err(invalidManifest([...findings, unreadable]));
}

/**
 * Checks the text by itself and, if `row` names a manifest in force, as an
 * update of it.
 */
function* checkCommit(
  {platform, body, fileName}: CommitOptions,
  calls: RetryingCalls,
  row: CurrentManifestRow | undefined,
): CommitStep<Manifest> {
  const {manifest, findings, locate} = inspectManifest(body, fileName);
  if (manifest === undefined) {
    return Err(invalidManifest(findings));
  }
  if (row?.value === undefined) {
    return Ok(manifest);
  }
  const previous = yield* readPrevious(platform, calls, row);
  if (previous.err) {
    return previous;
  }
  const updateIssues = checkManifestUpdate(previous.val, manifest).map(locate);
  return hasErrors(updateIssues)
    ? Err(invalidManifest([...findings, ...updateIssues]))
    : Ok(manifest);
}

/** Commits a manifest. Once it is accepted, returns it with its version. */
export function* commitManifest(
  options: CommitOptions,
): CommitStep<AcceptedManifest> {
  const {runtime, platform, body, expectedVersion, commitId} = options;
  const {timer} = runtime;
  const deadline = timer.now() + (options.timeLimit ?? DEFAULT_TIMEOUT_MS);
  const calls = createRetryingCalls(runtime, deadline);
  const digest = manifestDigest(body);

  const read = yield* calls.retry(() => readManifestRow(platform));
  if (read.err) {
    return Err(callFailed(read.val, false));
  }
  const row = read.val;
  const resolution = resolveCommit(row, {expectedVersion, commitId, digest});
  if (resolution === 'lost' || row.version < expectedVersion) {
    return Err(versionConflict(row));
  }
  if (resolution === 'unknowable') {
    return Err(unknownOutcome(expectedVersion + 1));
  }
  const isOpen = resolution === 'open';
  const checked = yield* checkCommit(options, calls, isOpen ? row : undefined);
  if (checked.err) {
    return checked;
  }
  if (isOpen) {
    const stored = yield* calls.retry(() => platform.putObject(digest, body));
    if (stored.err) {
      return Err(callFailed(stored.val, false));
    }
    const value: ManifestRow = {
      commitId,
      digest,
      committedBy: options.committedBy,
      committedAt: timer.wallClock(),
      recent: knownCommits(row).slice(0, MAXIMUM_RECENT_COMMITS),
    };
    const replaced = yield* replaceManifestRow({
      platform,
      calls,
      expectedVersion,
      value,
    });
    if (replaced.err) {
      return replaced;
    }
  }
  const version = expectedVersion + 1;
  return Ok({version, commitId, digest, body, manifest: checked.val});
}
