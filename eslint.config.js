import neostandard from 'neostandard'

const IO_MODULES = ['node:fs', 'node:fs/*', 'node:net', 'node:http', 'node:https', 'node:child_process', 'node:timers', 'node:timers/*', 'node:process', 'undici', 'prom-client', 'tslog', 'clipanion', '@trpc/*']

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    rules: {
      // A constant object and the type of its values share a name; the compiler reports real redeclarations.
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      '@stylistic/max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true }]
    }
  },
  {
    // The core and the check of configurations decide; they open no socket, file or timer.
    files: ['src/core/**/*.ts', 'platform/check/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: [...IO_MODULES, '**/io/**', '**/bin/**', '**/standin/**'], message: 'The core imports no I/O.' }] }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'fetch', 'process'],
      'no-restricted-syntax': ['error', {
        selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
        message: 'The core reads time through Clock.'
      }]
    }
  },
  {
    files: ['src/io/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: ['**/bin/**', '**/standin/**', 'node:child_process'], message: 'The I/O layer imports the core only and starts no process.' }] }]
    }
  }
]
