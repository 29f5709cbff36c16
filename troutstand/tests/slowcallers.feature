Feature: Bodies that wait for slow callers count in the memory of large bodies

  # Guards against large bodies that no bound counts once they are received.
  Scenario: Four bodies of 16 MiB that nobody reads leave no room for a fifth
    Given a routed site whose targets answer with 16777216 bytes, or 1000 for a small request
    When 4 callers ask for a large body and do not read it
    Then a caller that asks for a large body and reads it gets 502
    And a caller that asks for a small body and reads it gets 200
    When those callers leave
    Then a caller that asks for a large body and reads it gets 200 in the end
