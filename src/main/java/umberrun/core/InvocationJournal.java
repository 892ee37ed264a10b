package umberrun.core;

import java.util.List;

/**
 * The record of kept invocations that the processes of one front end share, so that each of them
 * knows the keys and locations that another one has promised, also after that one was killed. All
 * processes see the same entries in the same order. To be used on the event loop.
 */
public interface InvocationJournal {
  /** What the journal needs from the process that reads it. */
  interface Reader {
    /** Applies an entry that another process has written. Entries may come more than once. */
    void apply(InvocationEntry entry);

    /** Entries that together stand for all that is still needed of the journal. */
    List<InvocationEntry> snapshot();

    /** Roughly the size of the snapshot in bytes. */
    long snapshotBytes();
  }

  /** The name of this process in entries. */
  String process();

  /** Applies the new entries of other processes. */
  void poll();

  /**
   * Keeps other processes from writing until {@link #unlock}, and applies all that they wrote
   * before. False if another process does not let go of the journal in time, or it can't be read.
   */
  boolean lock();

  /** Adds an entry; to be called between lock and unlock. False if it could not be written. */
  boolean append(InvocationEntry entry);

  /** Lets other processes write again. */
  void unlock();

  /** The journal of a process that shares no folder with others: it needs none. */
  InvocationJournal NONE =
      new InvocationJournal() {
        @Override
        public String process() {
          return "";
        }

        @Override
        public void poll() {}

        @Override
        public boolean lock() {
          return true;
        }

        @Override
        public boolean append(InvocationEntry entry) {
          return true;
        }

        @Override
        public void unlock() {}
      };
}
