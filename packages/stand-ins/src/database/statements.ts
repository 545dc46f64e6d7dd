/** The statement language of the stand-in; opaque to proxies. */
import {
  Failure,
  Rows,
  Scalar,
  Statement,
  StatementMode,
  createFailure,
} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {Tables} from './tables';

/** A statement that is ready to run. */
export interface PreparedStatement {
  /** How long it holds its slot on top of the service time. */
  readonly extraTime: Milliseconds;
  /** Runs it; a failure leaves the tables as they were. */
  run(tables: Tables): Result<Rows, Failure>;
}

type Parameters = readonly Scalar[];

interface Operation {
  readonly writes: boolean;
  /** Gives what is wrong with the parameters, if anything. */
  readonly findFault: (parameters: Parameters) => string | undefined;
  readonly run: (
    parameters: Parameters,
    tables: Tables,
  ) => Result<Rows, string>;
}

function nameFault(parameters: Parameters): string | undefined {
  return typeof parameters[0] === 'string'
    ? undefined
    : 'The first parameter must be text.';
}

function amountFault(parameters: Parameters): string | undefined {
  return typeof parameters[1] === 'number'
    ? nameFault(parameters)
    : 'The second parameter must be a number.';
}

function durationFault(parameters: Parameters): string | undefined {
  const [duration] = parameters;
  return typeof duration === 'number' && duration >= 0
    ? undefined
    : 'The parameter must be milliseconds.';
}

/** Names are checked before an operation runs. */
function nameOf(parameters: Parameters): string {
  return String(parameters[0]);
}

function operandOf(parameters: Parameters): Scalar {
  return parameters[1] ?? null;
}

function add(parameters: Parameters, tables: Tables): Result<Rows, string> {
  const name = nameOf(parameters);
  const before = tables.value(name) ?? 0;
  if (typeof before !== 'number') {
    return Err(`${name} is not a number.`);
  }
  const sum = before + Number(operandOf(parameters));
  tables.setValue(name, sum);
  return Ok([[sum]]);
}

const OPERATIONS: ReadonlyMap<string, Operation> = new Map<string, Operation>([
  [
    'get ?',
    {
      writes: false,
      findFault: nameFault,
      run(parameters, tables) {
        const value = tables.value(nameOf(parameters));
        return Ok(value === undefined ? [] : [[value]]);
      },
    },
  ],
  [
    'set ? ?',
    {
      writes: true,
      findFault: nameFault,
      run(parameters, tables) {
        tables.setValue(nameOf(parameters), operandOf(parameters));
        return Ok([]);
      },
    },
  ],
  ['add ? ?', {writes: true, findFault: amountFault, run: add}],
  [
    'append ? ?',
    {
      writes: true,
      findFault: nameFault,
      run(parameters, tables) {
        const name = nameOf(parameters);
        tables.append(name, operandOf(parameters));
        return Ok([[tables.listLength(name)]]);
      },
    },
  ],
  [
    'list ?',
    {
      writes: false,
      findFault: nameFault,
      run: (parameters, tables) =>
        Ok(tables.list(nameOf(parameters)).map(entry => [entry])),
    },
  ],
  [
    'count ?',
    {
      writes: false,
      findFault: nameFault,
      run: (parameters, tables) =>
        Ok([[tables.listLength(nameOf(parameters))]]),
    },
  ],
  ['sleep ?', {writes: false, findFault: durationFault, run: () => Ok([])}],
]);

const SLEEP = 'sleep ?';

function failed(message: string): Failure {
  return createFailure('STATEMENT_FAILED', {message});
}

function placeholders(text: string): number {
  return text.split('?').length - 1;
}

/** Checks a statement against its mode. */
export function prepareStatement(
  statement: Statement,
  mode: StatementMode,
): Result<PreparedStatement, Failure> {
  const {text, parameters} = statement;
  const operation = OPERATIONS.get(text);
  if (operation === undefined) {
    return Err(failed('No such statement.'));
  }
  if (operation.writes && mode === 'read') {
    return Err(failed('The statement writes.'));
  }
  if (parameters.length !== placeholders(text)) {
    return Err(failed('Wrong number of parameters.'));
  }
  const fault = operation.findFault(parameters);
  if (fault !== undefined) {
    return Err(failed(fault));
  }
  return Ok({
    extraTime: text === SLEEP ? Number(parameters[0]) : 0,
    run: tables => operation.run(parameters, tables).mapErr(failed),
  });
}
