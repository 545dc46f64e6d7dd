/** Entry point of the `kelpstep` command. */
import {runCommandLine} from './command_line';
import {createConsoleOutput} from './console_output';

void runCommandLine(process.argv.slice(2), {
  output: createConsoleOutput(),
  environment: process.env,
}).then(code => {
  process.exitCode = code;
});
