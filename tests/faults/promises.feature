Feature: What operators rely on while things fail
  Callers send checks and charges, and batch jobs run, on four entry instances.
  One fault is injected at one step. Afterwards the journals of executors,
  workers and log are compared with the answers that callers received.

  Scenario Outline: No machine is given more than it holds
    When "<fault>" strikes at "<step>"
    Then no machine was given more than it holds

    Examples:
      | fault       | step      |
      | peer hangs  | wait      |
      | pause       | send      |
      | dies after  | take-over |

  Scenario Outline: No task runs in two places at once
    When "<fault>" strikes at "<step>"
    Then no task ran in two places at once

    Examples:
      | fault       | step         |
      | answer lost | start        |
      | peer hangs  | renew        |
      | pause       | claim-append |

  Scenario Outline: Evicted work resumes exactly once
    When "<fault>" strikes at "<step>"
    Then each evicted task resumed once, from its last checkpoint

    Examples:
      | fault       | step         |
      | answer lost | evict-record |
      | dies after  | checkpoint   |

  Scenario Outline: Everybody gets the whole answer to their own request
    When "<fault>" strikes at "<step>"
    Then each answer went whole to its own caller

    Examples:
      | fault     | step    |
      | delayed   | return  |
      | doubled   | return  |
      | cut short | receive |

  Scenario Outline: What was said not to run did not run
    When "<fault>" strikes at "<step>"
    Then what was said not to run did not run

    Examples:
      | fault       | step   |
      | lost        | return |
      | answer lost | send   |
      | dies after  | wait   |

  Scenario Outline: A charge runs at most once
    When "<fault>" strikes at "<step>"
    Then no key ran more than once

    Examples:
      | fault       | step             |
      | answer lost | intent-append    |
      | dies after  | intent-read-back |
      | lost        | answer           |

  Scenario Outline: A leaving instance goes, and cuts nothing
    When "<fault>" strikes at "<step>"
    Then every leaving instance has gone

    Examples:
      | fault       | step      |
      | doubled     | hand-over |
      | answer lost | drain     |

  Scenario Outline: An accepted contract stays in force everywhere
    When "<fault>" strikes at "<step>"
    Then the newest accepted contract is in force everywhere

    Examples:
      | fault         | step           |
      | answer lost   | publish-append |
      | log down      | apply          |
      | log truncated | snapshot-read  |
      | clock jump    | apply          |

  Scenario Outline: Everything ends, and service comes back
    When "<fault>" strikes at "<step>"
    Then every request and job has ended and requests complete again

    Examples:
      | fault          | step  |
      | peer fails all | start |
      | log slow       | admit |
