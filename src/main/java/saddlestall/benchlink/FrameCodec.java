package saddlestall.benchlink;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import saddlestall.Dispatcher.Action;
import saddlestall.Dispatcher.AttemptOutcome;
import saddlestall.Dispatcher.CallArrival;
import saddlestall.Dispatcher.Cancel;
import saddlestall.Dispatcher.ClientDisconnected;
import saddlestall.Dispatcher.CloseIdleConnections;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.Event;
import saddlestall.Dispatcher.Fail;
import saddlestall.Dispatcher.FetchWorkerList;
import saddlestall.Dispatcher.ListKind;
import saddlestall.Dispatcher.Log;
import saddlestall.Dispatcher.OutcomeCode;
import saddlestall.Dispatcher.PeerMessage;
import saddlestall.Dispatcher.Preload;
import saddlestall.Dispatcher.PreloadResult;
import saddlestall.Dispatcher.Probe;
import saddlestall.Dispatcher.ProbeResult;
import saddlestall.Dispatcher.Refuse;
import saddlestall.Dispatcher.Send;
import saddlestall.Dispatcher.SendToPeer;
import saddlestall.Dispatcher.StartTimer;
import saddlestall.Dispatcher.StreamStarted;
import saddlestall.Dispatcher.Subscribe;
import saddlestall.Dispatcher.TimerFired;
import saddlestall.Dispatcher.Unload;
import saddlestall.Dispatcher.WorkerEntry;
import saddlestall.Dispatcher.WorkerListUpdate;
import saddlestall.Dispatcher.WorkerState;

/**
 * Decodes the frames from the simulator and encodes the replies to them.
 *
 * <p>All numbers are big-endian, and times on the wire are in milliseconds. A frame has a header
 * (the number of records, the length of the frame in bytes, the clock), records of {@link
 * #EVENT_BYTES} each that start with their code, and a tail. Data of variable length stands in the
 * tail; its record holds its offset from the start of the tail and its length. A reply has a header
 * (the number of records, the length in bytes), records of {@link #ACTION_BYTES} each and a tail.
 */
final class FrameCodec {
  static final int EVENT_BYTES = 48;
  static final int ACTION_BYTES = 24;
  private static final int HEADER_BYTES = 16;
  private static final int REPLY_HEADER_BYTES = 8;
  private static final int WORKER_ENTRY_BYTES = 23;
  private static final int MAX_FRAME_BYTES = 1 << 30;
  private static final int WORKER_LISTS = 16;
  private static final int MAX_REPORT_VALUES = 4;

  private static final int EVENT_SPAWN = 1;
  private static final int EVENT_WORKER_LIST_UPDATE = 2;
  private static final int EVENT_CALL_ARRIVAL = 3;
  private static final int EVENT_STREAM_STARTED = 4;
  private static final int EVENT_ATTEMPT_OUTCOME = 5;
  private static final int EVENT_CLIENT_DISCONNECTED = 6;
  private static final int EVENT_TIMER_FIRED = 7;
  private static final int EVENT_PROBE_RESULT = 8;
  private static final int EVENT_PEER_MESSAGE = 9;
  private static final int EVENT_KILLED = 10;
  private static final int EVENT_PRELOAD_RESULT = 11;
  private static final int EVENT_WORKER_LIST = 12;
  private static final int EVENT_SELECT = 13;

  private static final int ACTION_SEND = 1;
  private static final int ACTION_REFUSE = 2;
  private static final int ACTION_FAIL = 3;
  private static final int ACTION_CANCEL = 4;
  private static final int ACTION_START_TIMER = 5;
  private static final int ACTION_PROBE = 6;
  private static final int ACTION_CLOSE_IDLE_CONNECTIONS = 7;
  private static final int ACTION_SEND_TO_PEER = 8;
  private static final int ACTION_LOG = 9;
  private static final int ACTION_EXCEPTION = 10;
  private static final int ACTION_SUBSCRIBE = 11;
  private static final int ACTION_FETCH_WORKER_LIST = 12;
  private static final int ACTION_PRELOAD = 13;
  private static final int ACTION_UNLOAD = 14;
  private static final int ACTION_FROM = 15;

  /** A frame that cannot be decoded; the message is a single line. */
  static final class InvalidFrame extends IOException {
    private static final long serialVersionUID = 1;

    InvalidFrame(String message) {
      super(message);
    }
  }

  /** Receives the records of a frame in order. */
  interface Sink {
    /** The records that follow are for this instance of the decision module. */
    void select(int instance);

    /** Starts the selected instance with settings in JSON. */
    void spawn(long seed, String settings);

    /** The selected instance has been killed. */
    void killed();

    /** An event for the selected instance. */
    void event(Event event);
  }

  /** The worker lists received, by number; a worker list update refers to one of them. */
  private final List<List<WorkerEntry>> workerLists = new ArrayList<>();

  FrameCodec() {
    for (int i = 0; i < WORKER_LISTS; i++) {
      workerLists.add(List.of());
    }
  }

  // ---------------------------------------------------------------- frames

  /** Reads one frame; returns null if the input has ended before its first byte. */
  static ByteBuffer readFrame(InputStream in) throws IOException {
    int first = in.read();
    if (first < 0) {
      return null;
    }
    DataInputStream data = new DataInputStream(in);
    try {
      byte[] header = new byte[HEADER_BYTES];
      header[0] = (byte) first;
      data.readFully(header, 1, HEADER_BYTES - 1);
      int length = ByteBuffer.wrap(header).getInt(4);
      if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
        throw new InvalidFrame("batch length " + length + " is out of range");
      }
      byte[] frame = new byte[length];
      System.arraycopy(header, 0, frame, 0, HEADER_BYTES);
      data.readFully(frame, HEADER_BYTES, length - HEADER_BYTES);
      return ByteBuffer.wrap(frame);
    } catch (EOFException e) {
      throw new InvalidFrame("input ended inside a batch");
    }
  }

  /** Returns the clock of a frame, in microseconds. */
  static long clock(ByteBuffer frame) {
    return micros(frame.getDouble(8));
  }

  /** Decodes the records of a frame and passes them to the sink. */
  void read(ByteBuffer frame, Sink sink) throws InvalidFrame {
    int count = frame.getInt(0);
    long tailOffset = HEADER_BYTES + (long) count * EVENT_BYTES;
    if (count < 0 || tailOffset > frame.limit()) {
      throw new InvalidFrame(
          "batch of " + frame.limit() + " bytes is too short for " + count + " records");
    }
    for (int i = 0; i < count; i++) {
      readRecord(frame, HEADER_BYTES + i * EVENT_BYTES, (int) tailOffset, sink);
    }
  }

  /**
   * Decodes one record.
   *
   * @param at the offset of the record in the frame
   * @param tailOffset the offset of the tail in the frame
   */
  private void readRecord(ByteBuffer frame, int at, int tailOffset, Sink sink) throws InvalidFrame {
    switch (frame.get(at)) {
      case EVENT_SELECT -> sink.select(frame.getInt(at + 1));
      case EVENT_SPAWN ->
          sink.spawn(
              frame.getLong(at + 1),
              new String(tailBytes(frame, at + 9, tailOffset, 1), StandardCharsets.UTF_8));
      case EVENT_WORKER_LIST ->
          workerLists.set(
              listNumber(frame.getShort(at + 1)), workerEntries(frame, at + 3, tailOffset));
      case EVENT_WORKER_LIST_UPDATE -> sink.event(workerListUpdate(frame, at));
      case EVENT_CALL_ARRIVAL -> sink.event(callArrival(frame, at));
      case EVENT_STREAM_STARTED ->
          sink.event(
              new StreamStarted(
                  frame.getInt(at + 1), frame.get(at + 5) & 255, frame.getInt(at + 6)));
      case EVENT_ATTEMPT_OUTCOME -> sink.event(attemptOutcome(frame, at));
      case EVENT_CLIENT_DISCONNECTED -> sink.event(new ClientDisconnected(frame.getInt(at + 1)));
      case EVENT_TIMER_FIRED -> sink.event(new TimerFired(frame.getLong(at + 1)));
      case EVENT_PROBE_RESULT -> sink.event(probeResult(frame, at));
      case EVENT_PEER_MESSAGE ->
          sink.event(
              new PeerMessage(frame.getInt(at + 1), tailBytes(frame, at + 5, tailOffset, 1)));
      case EVENT_KILLED -> sink.killed();
      case EVENT_PRELOAD_RESULT -> sink.event(preloadResult(frame, at));
      default -> {
        // Skips the events of later versions of the wire.
      }
    }
  }

  private WorkerListUpdate workerListUpdate(ByteBuffer frame, int at) throws InvalidFrame {
    int ordinal = frame.get(at + 1);
    if (ordinal < 0 || ordinal >= ListKind.values().length) {
      throw new InvalidFrame("unknown kind of list " + ordinal);
    }
    ListKind kind = ListKind.values()[ordinal];
    return new WorkerListUpdate(
        kind,
        kind == ListKind.FAILED ? List.of() : workerLists.get(listNumber(frame.getShort(at + 10))));
  }

  private static int listNumber(short number) throws InvalidFrame {
    if (number < 0 || number >= WORKER_LISTS) {
      throw new InvalidFrame("list number " + number + " is out of range");
    }
    return number;
  }

  private static List<WorkerEntry> workerEntries(ByteBuffer frame, int field, int tailOffset)
      throws InvalidFrame {
    byte[] bytes = tailBytes(frame, field, tailOffset, WORKER_ENTRY_BYTES);
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    List<WorkerEntry> entries = new ArrayList<>();
    for (int at = 0; at < bytes.length; at += WORKER_ENTRY_BYTES) {
      WorkerState state =
          switch (buffer.get(at + 2)) {
            case 1 -> WorkerState.READY;
            case 2 -> WorkerState.DRAINING;
            default -> WorkerState.GONE;
          };
      entries.add(
          new WorkerEntry(
              buffer.getInt(at + 19),
              buffer.getShort(at) & 0xffff,
              buffer.getShort(at + 15) & 0xffff,
              buffer.getShort(at + 17) & 0xffff,
              state,
              buffer.getFloat(at + 3),
              micros(buffer.getDouble(at + 7))));
    }
    return List.copyOf(entries);
  }

  /** Decodes a call; bit 0 of its flags: has a duration estimate, bit 1: retry, bit 2: write. */
  private static CallArrival callArrival(ByteBuffer frame, int at) {
    int flags = frame.get(at + 40);
    return new CallArrival(
        frame.getInt(at + 1),
        micros(frame.getDouble(at + 5)),
        (flags & 1) != 0 ? micros(frame.getDouble(at + 13)) : 0,
        frame.getLong(at + 21),
        frame.getFloat(at + 29),
        frame.getFloat(at + 33),
        frame.get(at + 37) & 255,
        frame.getShort(at + 38) & 0xffff,
        (flags & 2) != 0,
        (flags & 4) != 0,
        micros(frame.getFloat(at + 41)));
  }

  /**
   * Decodes an outcome. One of its fields holds the ordinal of the copy status in the lower three
   * bits and the concurrency of the copy above them; outcomes other than OK and FULL report no
   * concurrency.
   */
  private static AttemptOutcome attemptOutcome(ByteBuffer frame, int at) {
    OutcomeCode code = outcomeCode(frame.get(at + 10));
    int statusAndConcurrency = frame.getInt(at + 20);
    int status = statusAndConcurrency & 7;
    boolean reportsConcurrency = code == OutcomeCode.OK || code == OutcomeCode.FULL;
    return new AttemptOutcome(
        frame.getInt(at + 1),
        frame.get(at + 5) & 255,
        frame.getInt(at + 6),
        code,
        micros(frame.getDouble(at + 11)),
        frame.get(at + 19) != 0,
        status < CopyStatus.values().length ? CopyStatus.values()[status] : CopyStatus.NONE,
        reportsConcurrency ? statusAndConcurrency >> 3 : -1,
        loadReport(frame, at + 24));
  }

  private static ProbeResult probeResult(ByteBuffer frame, int at) {
    return new ProbeResult(
        micros(frame.getDouble(at + 1)),
        frame.getInt(at + 9),
        outcomeCode(frame.get(at + 13)),
        loadReport(frame, at + 14));
  }

  private static PreloadResult preloadResult(ByteBuffer frame, int at) {
    return new PreloadResult(
        micros(frame.getDouble(at + 1)),
        frame.get(at + 9) & 255,
        frame.getInt(at + 10),
        outcomeCode(frame.get(at + 14)),
        frame.getLong(at + 15));
  }

  /** An unknown code counts as an error, which leaves open whether the attempt ran. */
  private static OutcomeCode outcomeCode(byte code) {
    return switch (code & 255) {
      case 0 -> OutcomeCode.OK;
      case 2 -> OutcomeCode.MISS;
      case 11 -> OutcomeCode.FULL;
      case 104 -> OutcomeCode.RESET;
      case 110 -> OutcomeCode.TIMEOUT;
      case 111 -> OutcomeCode.CONNECT_FAILED;
      case 114 -> OutcomeCode.NOT_STARTED;
      case 125 -> OutcomeCode.CANCELLED;
      default -> OutcomeCode.ERROR;
    };
  }

  /** Decodes the values of a load report; null if it has none. */
  private static float[] loadReport(ByteBuffer frame, int at) {
    int count = Math.min(MAX_REPORT_VALUES, frame.get(at) & 255);
    if (count == 0) {
      return null;
    }
    float[] values = new float[count];
    for (int i = 0; i < count; i++) {
      values[i] = frame.getFloat(at + 1 + Float.BYTES * i);
    }
    return values;
  }

  /**
   * Returns data from the tail.
   *
   * @param field the offset in the frame of the field that holds the offset and length of the data
   * @param unitBytes the size of the units in which the length is given, in bytes
   */
  private static byte[] tailBytes(ByteBuffer frame, int field, int tailOffset, int unitBytes)
      throws InvalidFrame {
    long from = tailOffset + (frame.getInt(field) & 0xffffffffL);
    long length = (frame.getInt(field + 4) & 0xffffffffL) * unitBytes;
    if (from + length > frame.limit()) {
      throw new InvalidFrame("a field points past the end of its batch");
    }
    byte[] bytes = new byte[(int) length];
    frame.get((int) from, bytes);
    return bytes;
  }

  /** Converts milliseconds to microseconds; infinite values and NaN become 0. */
  private static long micros(double millis) {
    return Double.isFinite(millis) ? Math.round(millis * 1000) : 0;
  }

  // ---------------------------------------------------------------- replies

  /** Encodes one reply after another, each from the actions added since the last one. */
  static final class Reply {
    private ByteBuffer records = ByteBuffer.allocate(1 << 12);
    private ByteBuffer tail = ByteBuffer.allocate(1 << 10);
    private int count;

    /** Adds a record with the instance whose actions follow. */
    void from(int instance) {
      start(ACTION_FROM).putInt(instance);
      finish();
    }

    /** Adds a record with the description of an exception in the decision module. */
    void exception(String description) {
      start(ACTION_EXCEPTION);
      putInTail(description.getBytes(StandardCharsets.UTF_8));
      finish();
    }

    /** Adds the record of an action. */
    void add(Action action) {
      if (action instanceof Send a) {
        start(ACTION_SEND).putInt(a.call()).putInt(a.worker()).putDouble(millis(a.timeout()));
      } else if (action instanceof Refuse a) {
        start(ACTION_REFUSE).putInt(a.call()).putDouble(millis(a.retryAfter()));
      } else if (action instanceof Fail a) {
        start(ACTION_FAIL).putInt(a.call());
      } else if (action instanceof Cancel a) {
        start(ACTION_CANCEL).putInt(a.call()).put((byte) a.attempt());
      } else if (action instanceof StartTimer a) {
        start(ACTION_START_TIMER).putDouble(millis(a.delay())).putLong(a.token());
      } else if (action instanceof Probe a) {
        start(ACTION_PROBE).putInt(a.worker());
      } else if (action instanceof CloseIdleConnections a) {
        start(ACTION_CLOSE_IDLE_CONNECTIONS).putInt(a.worker());
      } else if (action instanceof SendToPeer a) {
        start(ACTION_SEND_TO_PEER).putInt(a.peer());
        putInTail(a.bytes());
      } else if (action instanceof Log a) {
        start(ACTION_LOG);
        putInTail(a.text().getBytes(StandardCharsets.UTF_8));
      } else if (action instanceof Subscribe a) {
        start(ACTION_SUBSCRIBE).put((byte) (a.on() ? 1 : 0));
      } else if (action instanceof FetchWorkerList) {
        start(ACTION_FETCH_WORKER_LIST);
      } else if (action instanceof Preload a) {
        start(ACTION_PRELOAD).putInt(a.worker()).putLong(a.function()).put((byte) a.copies());
      } else if (action instanceof Unload a) {
        start(ACTION_UNLOAD).putInt(a.worker()).putLong(a.function());
      }
      finish();
    }

    /** Writes the reply, flushes the stream and clears the reply. */
    void write(OutputStream out) throws IOException {
      ByteBuffer header = ByteBuffer.allocate(REPLY_HEADER_BYTES);
      header.putInt(count).putInt(REPLY_HEADER_BYTES + records.position() + tail.position());
      out.write(header.array());
      out.write(records.array(), 0, records.position());
      out.write(tail.array(), 0, tail.position());
      out.flush();
      records.clear();
      tail.clear();
      count = 0;
    }

    /** Starts a record with its code. */
    private ByteBuffer start(int code) {
      records = ensureRemaining(records, ACTION_BYTES);
      return records.put((byte) code);
    }

    /** Appends data to the tail, and its offset and length to the current record. */
    private void putInTail(byte[] bytes) {
      tail = ensureRemaining(tail, bytes.length);
      records.putInt(tail.position()).putInt(bytes.length);
      tail.put(bytes);
    }

    /** Pads the current record to its full size. */
    private void finish() {
      count++;
      while (records.position() < count * ACTION_BYTES) {
        records.put((byte) 0);
      }
    }

    /** Returns the buffer, or a larger copy of it if less than {@code bytes} are left. */
    private static ByteBuffer ensureRemaining(ByteBuffer buffer, int bytes) {
      if (buffer.remaining() >= bytes) {
        return buffer;
      }
      ByteBuffer larger =
          ByteBuffer.allocate(Math.max(2 * buffer.capacity(), buffer.position() + bytes));
      return larger.put(buffer.flip());
    }

    private static double millis(long micros) {
      return micros / 1000.0;
    }
  }
}
