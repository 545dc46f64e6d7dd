/**
 * Commits a manifest: checks it, stores its body as an object and replaces the
 * manifest row by one compare-and-set.
 */
import type {ManifestRow} from '@kelpstep/protocol';
import type {PlatformClient} from '@kelpstep/platform';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';
import {Err, Ok} from 'ts-results';

import {
  CommitStep,
  callFailed,
  forgottenCommit,
  invalidManifest,
  lostToAnother,
} from './commit_failure';
import {hasErrors} from './finding';
import {
  CurrentManifestRow,
  REMEMBERED_COMMITS,
  commitFate,
  knownCommits,
  readManifestRow,
} from './manifest_row';
import type {AcceptedManifest, Manifest} from './manifest_schema';
import {PatientCalls, createPatientCalls} from './patient_calls';
import {inspectManifest, manifestDigest} from './read_manifest';
import {replaceManifestRow} from './replace_manifest_row';
import {checkSuccession} from './succession';

/** A commit and what carries it out. */
export interface CommitOptions {
  readonly runtime: Runtime;
  readonly platform: PlatformClient;
  /** The YAML text. */
  readonly body: string;
  /** Name of the text in findings. */
  readonly fileName: string;
  /** Version that the commit replaces; 0 for the first. */
  readonly expectedVersion: number;
  /** Unique per commit; sending a commit again with its id is harmless. */
  readonly commitId: string;
  readonly committedBy: string;
  /** Time after which the answer is given, whatever is known. */
  readonly timeLimit?: Milliseconds;
}

const DEFAULT_TIME_LIMIT = 10_000;

/** Reads the manifest in force, which the new one has to follow. */
function* readPrevious(
  platform: PlatformClient,
  calls: PatientCalls,
  row: CurrentManifestRow,
): CommitStep<Manifest> {
  const digest = row.value?.digest ?? '';
  const object = yield* calls.persist(() => platform.getObject(digest));
  if (object.err) {
    return Err(callFailed(object.val, false));
  }
  const name = `version-${row.version}.yaml`;
  const {manifest, findings, locate} = inspectManifest(object.val, name);
  if (manifest !== undefined && manifestDigest(object.val) === digest) {
    return Ok(manifest);
  }
  // Without it nobody can tell whether majorities would overlap.
  const unreadable = locate({
    path: [],
    expected: 'a manifest in force that this release can read',
    found: `one of digest ${digest}`,
  });
  return Err(invalidManifest([...findings, unreadable]));
}

/** Checks the text by itself and as the successor of the one in force. */
function* checkCommit(
  {platform, body, fileName}: CommitOptions,
  calls: PatientCalls,
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
  const succession = checkSuccession(previous.val, manifest).map(locate);
  return hasErrors(succession)
    ? Err(invalidManifest([...findings, ...succession]))
    : Ok(manifest);
}

/** Commits a manifest; gives it with its version once it is accepted. */
export function* commitManifest(
  options: CommitOptions,
): CommitStep<AcceptedManifest> {
  const {runtime, platform, body, expectedVersion, commitId} = options;
  const {timer} = runtime;
  const deadline = timer.now() + (options.timeLimit ?? DEFAULT_TIME_LIMIT);
  const calls = createPatientCalls(runtime, deadline);
  const digest = manifestDigest(body);

  const read = yield* calls.persist(() => readManifestRow(platform));
  if (read.err) {
    return Err(callFailed(read.val, false));
  }
  const row = read.val;
  const fate = commitFate(row, {expectedVersion, commitId, digest});
  if (fate === 'lost' || row.version < expectedVersion) {
    return Err(lostToAnother(row));
  }
  if (fate === 'unknowable') {
    return Err(forgottenCommit(expectedVersion + 1));
  }
  const isOpen = fate === 'open';
  const checked = yield* checkCommit(options, calls, isOpen ? row : undefined);
  if (checked.err) {
    return checked;
  }
  if (isOpen) {
    const stored = yield* calls.persist(() => platform.putObject(digest, body));
    if (stored.err) {
      return Err(callFailed(stored.val, false));
    }
    const value: ManifestRow = {
      commitId,
      digest,
      committedBy: options.committedBy,
      committedAt: timer.wallClock(),
      recent: knownCommits(row).slice(0, REMEMBERED_COMMITS),
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
