/** Reads a manifest and reports all findings together. */
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

/** The result of reading a manifest, including warnings. */
export interface ManifestInspection {
  /** Undefined if the findings include an error. */
  readonly manifest: Manifest | undefined;
  /** Ordered by location in the text. */
  readonly findings: readonly Finding[];
  /** Locates an issue of a further check in the same text. */
  locate(issue: DataIssue): Finding;
}

function byLocation(left: Finding, right: Finding): number {
  return left.line - right.line || left.column - right.column;
}

/** Reads a manifest. The findings include warnings, also if it is valid. */
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
  ].sort(byLocation);
  return {
    manifest: hasErrors(findings) ? undefined : document.value,
    findings,
    locate: document.locate,
  };
}

/** Reads a manifest. If there are errors, returns every finding of the file. */
export function readManifest(
  text: string,
  fileName: string,
): Result<Manifest, Finding[]> {
  const {manifest, findings} = inspectManifest(text, fileName);
  return manifest === undefined ? Err([...findings]) : Ok(manifest);
}

/** Returns the SHA-256 of a body in hexadecimal, which is its object name. */
export function manifestDigest(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}
