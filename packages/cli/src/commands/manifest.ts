/** `kelpstep manifest`: checks, commits, shows and watches manifests. */
import {
  DataIssue,
  Finding,
  Manifest,
  checkManifestUpdate,
  formatFinding,
  hasErrors,
  inspectManifest,
} from '@kelpstep/manifest';
import {manifestCommit, manifestShow} from '@kelpstep/proxy';
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {basename} from 'node:path';
import type {Argv} from 'yargs';

import {CommandContext, reportResult, reportFailure} from '../command';
import {EXIT_CODES} from '../exit_code';
import type {HttpClient} from '../http_client';
import {
  createOperatorClient,
  readFileOrReport,
  withOperatorOptions,
} from '../operator_client';
import {addWatchCommand} from './manifest_watch';

function reportFindings(
  context: CommandContext,
  findings: readonly Finding[],
): void {
  findings.forEach(finding => context.output.error(formatFinding(finding)));
  if (hasErrors(findings)) {
    context.exit(EXIT_CODES.findings);
  }
}

/** Checks whether `next` can replace the manifest in a file. */
function checkAsUpdate(
  context: CommandContext,
  previousFile: string,
  next: Manifest,
  locate: (issue: DataIssue) => Finding,
): readonly Finding[] {
  const text = readFileOrReport(context, previousFile);
  if (text === undefined) {
    return [];
  }
  const {manifest, findings} = inspectManifest(text, previousFile);
  return manifest === undefined
    ? findings
    : checkManifestUpdate(manifest, next).map(locate);
}

function addCheck(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'check <file>',
    'Report all findings of a manifest file, without a proxy',
    builder =>
      builder
        .positional('file', {type: 'string', demandOption: true})
        .option('previous', {
          type: 'string',
          describe:
            'File of the manifest that this one must be able to replace',
        }),
    ({file, previous}) => {
      const text = readFileOrReport(context, file);
      if (text === undefined) {
        return;
      }
      const {manifest, findings, locate} = inspectManifest(text, file);
      const updateFindings =
        manifest === undefined || previous === undefined
          ? []
          : checkAsUpdate(context, previous, manifest, locate);
      reportFindings(context, [...findings, ...updateFindings]);
      if (manifest !== undefined && updateFindings.length === 0) {
        context.output.result({
          service: manifest.service,
          groups: manifest.groups.length,
        });
      }
    },
  );
}

/**
 * Returns the version that a commit replaces: the requested one or the one in
 * force. Returns undefined, after a report, if the proxy does not return it.
 */
async function resolveExpectedVersion(
  context: CommandContext,
  client: HttpClient,
  requestedVersion: number | undefined,
): Promise<number | undefined> {
  if (requestedVersion !== undefined) {
    return requestedVersion;
  }
  const current = await client.request(manifestShow, {});
  if (current.err) {
    reportFailure(context, current.val);
    return undefined;
  }
  return current.val.version;
}

function addCommit(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'commit <file>',
    'Commit a manifest',
    builder =>
      withOperatorOptions(builder)
        .positional('file', {type: 'string', demandOption: true})
        .option('expected-version', {
          type: 'number',
          describe:
            'Version that the commit replaces [default: the one in force]',
        })
        .option('commit-id', {
          type: 'string',
          describe: 'Id of a commit with unknown outcome, to repeat it',
        })
        .option('by', {
          type: 'string',
          describe:
            'Name recorded in the audit trail [default: the current user]',
        }),
    async options => {
      const body = readFileOrReport(context, options.file);
      const client = createOperatorClient(context, options);
      if (body === undefined || client === undefined) {
        return;
      }
      const expectedVersion = await resolveExpectedVersion(
        context,
        client,
        options.expectedVersion,
      );
      if (expectedVersion === undefined) {
        return;
      }
      const commitId = options.commitId ?? randomUUID();
      const reply = await client.request(manifestCommit, {
        body,
        fileName: basename(options.file),
        expectedVersion,
        commitId,
        committedBy: options.by ?? userInfo().username,
      });
      reportResult(context, reply);
      if (reply.err && reply.val.outcome === 'unknown') {
        context.output.error(
          `Repeat with --commit-id ${commitId} ` +
            `--expected-version ${expectedVersion}.`,
        );
      }
    },
  );
}

function addShow(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'show',
    'Show the manifest in force on a proxy',
    builder =>
      withOperatorOptions(builder).option('body', {
        type: 'boolean',
        default: false,
        describe: 'Write only the YAML text',
      }),
    async options => {
      const client = createOperatorClient(context, options);
      if (client === undefined) {
        return;
      }
      const reply = await client.request(manifestShow, {});
      if (reply.ok && options.body) {
        context.output.line(reply.val.body ?? '');
      } else {
        reportResult(context, reply);
      }
    },
  );
}

/** Adds `manifest` and its subcommands. */
export function addManifestCommands(
  yargs: Argv,
  context: CommandContext,
): Argv {
  return yargs.command(
    'manifest',
    'Check, commit, show and watch manifests',
    builder => {
      addCheck(builder, context);
      addCommit(builder, context);
      addShow(builder, context);
      addWatchCommand(builder, context);
      return builder.demandCommand(1, 'Name a command; --help lists them.');
    },
  );
}
