import { test } from 'node:test'
import { expect } from 'earl'
import { checkRequestSyntax } from '../../src/entry/checkRequestSyntax.js'

const check = (url: string, rawHeaders: string[] = []): boolean => checkRequestSyntax({ url, rawHeaders }).isOk()

// Guards against heads that a lenient parser accepts and that can't be sent to an endpoint.
test('heads that violate RFC 9112 are refused whatever the parser accepts', () => {
  expect(['', '/a\tb', '/a\fb', '/a b', '/a\u00ffb', '/a\u007fb', '/a\nb'].map((url) => check(url))).toEqual(Array(7).fill(false))
  expect(['X Odd', 'X-Odd ', '', 'X\u00ff', 'X:', 'X\r'].map((name) => check('/', [name, '1']))).toEqual(Array(6).fill(false))
  expect(['\0', 'a\r\nb', '\u007f', 'a\u0100'].map((value) => check('/', ['X-Odd', value]))).toEqual(Array(4).fill(false))
})

// Guards against refusing what RFC 9112 allows.
test('valid heads are accepted', () => {
  expect(['/', '/a%20b?c=d&e=%ff', '*', 'http://x/y', "/a!$'()*+,;=:@~"].map((url) => check(url))).toEqual(Array(5).fill(true))
  expect([check('/', ['X-Odd!#$%&\'*+-.^_`|~1', '\t a \u00e9']), check('/', ['X', ''])]).toEqual([true, true])
})
