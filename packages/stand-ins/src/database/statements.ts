/** The statement language of the stand-in; proxies don't parse it. */
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

/** A statement whose text, parameters and mode have been validated. */
export interface PreparedStatement {
  /** Time for which it occupies its slot beyond the service time. */
  readonly extraTime: Milliseconds;
  /** Executes the statement; a failure leaves the tables unchanged. */
  run(tables: Tables): Result<Rows, Failure>;
}

type Parameters = readonly Scalar[];

interface Operation {
  readonly writes: boolean;
  /** Returns a message if the parameters are invalid. */
  readonly validate: (parameters: Parameters) => string | undefined;
  readonly run: (
    parameters: Parameters,
    tables: Tables,
  ) => Result<Rows, string>;
}

function validateName(parameters: Parameters): string | undefined {
  return typeof parameters[0] === 'string'
    ? undefined
    : 'The first parameter must be text.';
}

function validateAmount(parameters: Parameters): string | undefined {
  return typeof parameters[1] === 'number'
    ? validateName(parameters)
    : 'The second parameter must be a number.';
}

function validateDuration(parameters: Parameters): string | undefined {
  const [duration] = parameters;
  return typeof duration === 'number' && duration >= 0
    ? undefined
    : 'The parameter must be milliseconds.';
}

/** The first parameter as text; it was validated before execution. */
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
      validate: validateName,
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
      validate: validateName,
      run(parameters, tables) {
        tables.setValue(nameOf(parameters), operandOf(parameters));
        return Ok([]);
      },
    },
  ],
  ['add ? ?', {writes: true, validate: validateAmount, run: add}],
  [
    'append ? ?',
    {
      writes: true,
      validate: validateName,
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
      validate: validateName,
      run: (parameters, tables) =>
        Ok(tables.list(nameOf(parameters)).map(entry => [entry])),
    },
  ],
  [
    'count ?',
    {
      writes: false,
      validate: validateName,
      run: (parameters, tables) =>
        Ok([[tables.listLength(nameOf(parameters))]]),
    },
  ],
  ['sleep ?', {writes: false, validate: validateDuration, run: () => Ok([])}],
]);

const SLEEP_TEXT = 'sleep ?';

function statementFailure(message: string): Failure {
  return createFailure('STATEMENT_FAILED', {message});
}

function countPlaceholders(text: string): number {
  return text.split('?').length - 1;
}

/**
 * Validates a statement, its parameters and its mode. Fails with
 * `STATEMENT_FAILED`.
 */
export function prepareStatement(
  statement: Statement,
  mode: StatementMode,
): Result<PreparedStatement, Failure> {
  const {text, parameters} = statement;
  const operation = OPERATIONS.get(text);
  if (operation === undefined) {
    return Err(statementFailure('No such statement.'));
  }
  if (operation.writes && mode === 'read') {
    return Err(statementFailure('The statement writes.'));
  }
  if (parameters.length !== countPlaceholders(text)) {
    return Err(statementFailure('Wrong number of parameters.'));
  }
  const parameterError = operation.validate(parameters);
  if (parameterError !== undefined) {
    return Err(statementFailure(parameterError));
  }
  return Ok({
    extraTime: text === SLEEP_TEXT ? Number(parameters[0]) : 0,
    run: tables => operation.run(parameters, tables).mapErr(statementFailure),
  });
}
