// Tests.
