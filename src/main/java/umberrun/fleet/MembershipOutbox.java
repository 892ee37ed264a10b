package umberrun.fleet;

/** What the membership wants done. Calls come in the order in which they are to be carried out. */
public interface MembershipOutbox {
  void send(String address, GossipMessage message);

  /**
   * Asks for a full exchange; {@code Membership.onExchange} or {@code onUnreachable} is owed for
   * it.
   */
  void exchange(String address);

  /** Starts a wait, in the place of one of the same kind and subject. */
  void startTimer(MembershipTimer timer, long at);

  void cancelTimer(MembershipTimer timer);

  void onMembershipChange(MembershipChange change);
}
