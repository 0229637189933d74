// Bundles each program for the platform into one file, so that a restart reads one file and parses what it uses.
import { build } from 'esbuild'

await build({
  entryPoints: { 'wisteria-gateway': 'platform/wisteria-gateway.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  logLevel: 'warning'
})
