/** The `kelpstep` command. */
process.stdout.write('kelpstep\n');
