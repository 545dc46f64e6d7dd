/** Reads a manifest and reports all that is wrong with it together. */
import {createHash} from 'node:crypto';
import {Err, Ok, Result} from 'ts-results';

import {DataIssue, Finding, hasErrors} from './finding';
import {checkManifestData} from './manifest_checks';
import {
  MAXIMUM_MANIFEST_BYTES,
  Manifest,
  manifestSchema,
} from './manifest_schema';
import {openYamlDocument} from './yaml_document';

/** A manifest that was read, with its warnings too. */
export interface ManifestInspection {
  /** Undefined if there is an error among the findings. */
  readonly manifest: Manifest | undefined;
  /** In the order of the text. */
  readonly findings: readonly Finding[];
  /** Locates what further checks find in the same text. */
  locate(issue: DataIssue): Finding;
}

function byPlace(left: Finding, right: Finding): number {
  return left.line - right.line || left.column - right.column;
}

/** Reads a manifest; warnings are among the findings. */
export function inspectManifest(
  text: string,
  fileName: string,
): ManifestInspection {
  const document = openYamlDocument(text, fileName, manifestSchema, {
    maximumBytes: MAXIMUM_MANIFEST_BYTES,
  });
  const findings = [
    ...document.findings,
    ...checkManifestData(document.raw).map(document.locate),
  ].sort(byPlace);
  return {
    manifest: hasErrors(findings) ? undefined : document.value,
    findings,
    locate: document.locate,
  };
}

/** Reads a manifest; on errors every finding of the file is given. */
export function readManifest(
  text: string,
  fileName: string,
): Result<Manifest, Finding[]> {
  const {manifest, findings} = inspectManifest(text, fileName);
  return manifest === undefined ? Err([...findings]) : Ok(manifest);
}

/** SHA-256 of a manifest's body, hexadecimal: its name as an object. */
export function manifestDigest(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}
