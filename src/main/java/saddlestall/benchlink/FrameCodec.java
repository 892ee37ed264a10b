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

/** The frames of the wire: big-endian records with one tail each. Translates, decides nothing. */
final class FrameCodec {
  static final int EVENT_BYTES = 48;
  static final int ACTION_BYTES = 24;
  private static final int HEADER_BYTES = 16;
  private static final int MEMBER_BYTES = 23;
  private static final int MAX_FRAME = 1 << 30;
  private static final int TABLES = 16;

  /** A frame that cannot be read; the message is one plain line. */
  static final class BadFrame extends IOException {
    private static final long serialVersionUID = 1;

    BadFrame(String message) {
      super(message);
    }
  }

  /** What the loop does with each record of a batch, in order. */
  interface Sink {
    void select(int instance);

    void spawn(long seed, String settings);

    void killed();

    void event(Event event);
  }

  private final List<List<WorkerEntry>> tables = new ArrayList<>();

  FrameCodec() {
    for (int i = 0; i < TABLES; i++) {
      tables.add(List.of());
    }
  }

  // ---------------------------------------------------------------- batches

  /** Reads one whole frame, or null where the input ended between frames. */
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
      if (length < HEADER_BYTES || length > MAX_FRAME) {
        throw new BadFrame("batch length " + length + " is out of range");
      }
      byte[] frame = new byte[length];
      System.arraycopy(header, 0, frame, 0, HEADER_BYTES);
      data.readFully(frame, HEADER_BYTES, length - HEADER_BYTES);
      return ByteBuffer.wrap(frame);
    } catch (EOFException e) {
      throw new BadFrame("input ended inside a batch");
    }
  }

  /** The clock of a frame. */
  static long clock(ByteBuffer frame) {
    return micros(frame.getDouble(8));
  }

  /** Passes the records of a frame to the sink. */
  void read(ByteBuffer frame, Sink sink) throws BadFrame {
    int count = frame.getInt(0);
    long tail = HEADER_BYTES + (long) count * EVENT_BYTES;
    if (count < 0 || tail > frame.limit()) {
      throw new BadFrame(
          "batch of " + frame.limit() + " bytes is too short for " + count + " records");
    }
    for (int i = 0; i < count; i++) {
      readRecord(frame, HEADER_BYTES + i * EVENT_BYTES, (int) tail, sink);
    }
  }

  private void readRecord(ByteBuffer b, int at, int tail, Sink sink) throws BadFrame {
    switch (b.get(at)) {
      case 13 -> sink.select(b.getInt(at + 1));
      case 1 ->
          sink.spawn(
              b.getLong(at + 1), new String(bytes(b, at + 9, tail, 1), StandardCharsets.UTF_8));
      case 12 -> tables.set(table(b.getShort(at + 1)), members(b, at + 3, tail));
      case 2 -> sink.event(membersEvent(b, at));
      case 3 -> sink.event(call(b, at));
      case 4 ->
          sink.event(new StreamStarted(b.getInt(at + 1), b.get(at + 5) & 255, b.getInt(at + 6)));
      case 5 -> sink.event(outcome(b, at));
      case 6 -> sink.event(new ClientDisconnected(b.getInt(at + 1)));
      case 7 -> sink.event(new TimerFired(b.getLong(at + 1)));
      case 8 ->
          sink.event(
              new ProbeResult(
                  micros(b.getDouble(at + 1)),
                  b.getInt(at + 9),
                  code(b.get(at + 13)),
                  report(b, at + 14)));
      case 9 -> sink.event(new PeerMessage(b.getInt(at + 1), bytes(b, at + 5, tail, 1)));
      case 10 -> sink.killed();
      case 11 ->
          sink.event(
              new PreloadResult(
                  micros(b.getDouble(at + 1)),
                  b.get(at + 9) & 255,
                  b.getInt(at + 10),
                  code(b.get(at + 14)),
                  b.getLong(at + 15)));
      default -> {} // an event of a later version
    }
  }

  private WorkerListUpdate membersEvent(ByteBuffer b, int at) throws BadFrame {
    int how = b.get(at + 1);
    if (how < 0 || how >= ListKind.values().length) {
      throw new BadFrame("unknown kind of list " + how);
    }
    ListKind kind = ListKind.values()[how];
    return new WorkerListUpdate(
        kind, kind == ListKind.FAILED ? List.of() : tables.get(table(b.getShort(at + 10))));
  }

  private static int table(short number) throws BadFrame {
    if (number < 0 || number >= TABLES) {
      throw new BadFrame("list number " + number + " is out of range");
    }
    return number;
  }

  private static List<WorkerEntry> members(ByteBuffer b, int field, int tail) throws BadFrame {
    byte[] raw = bytes(b, field, tail, MEMBER_BYTES);
    ByteBuffer m = ByteBuffer.wrap(raw);
    List<WorkerEntry> list = new ArrayList<>();
    for (int at = 0; at < raw.length; at += MEMBER_BYTES) {
      WorkerState state =
          switch (m.get(at + 2)) {
            case 1 -> WorkerState.READY;
            case 2 -> WorkerState.DRAINING;
            default -> WorkerState.GONE;
          };
      list.add(
          new WorkerEntry(
              m.getInt(at + 19),
              m.getShort(at) & 0xffff,
              m.getShort(at + 15) & 0xffff,
              m.getShort(at + 17) & 0xffff,
              state,
              m.getFloat(at + 3),
              micros(m.getDouble(at + 7))));
    }
    return List.copyOf(list);
  }

  private static CallArrival call(ByteBuffer b, int at) {
    int bits = b.get(at + 40);
    return new CallArrival(
        b.getInt(at + 1),
        micros(b.getDouble(at + 5)),
        (bits & 1) != 0 ? micros(b.getDouble(at + 13)) : 0,
        b.getLong(at + 21),
        b.getFloat(at + 29),
        b.getFloat(at + 33),
        b.get(at + 37) & 255,
        b.getShort(at + 38) & 0xffff,
        (bits & 2) != 0,
        (bits & 4) != 0,
        micros(b.getFloat(at + 41)));
  }

  private static AttemptOutcome outcome(ByteBuffer b, int at) {
    OutcomeCode code = code(b.get(at + 10));
    int remark = b.getInt(at + 20);
    int note = remark & 7;
    boolean counted = code == OutcomeCode.OK || code == OutcomeCode.FULL;
    return new AttemptOutcome(
        b.getInt(at + 1),
        b.get(at + 5) & 255,
        b.getInt(at + 6),
        code,
        micros(b.getDouble(at + 11)),
        b.get(at + 19) != 0,
        note < CopyStatus.values().length ? CopyStatus.values()[note] : CopyStatus.NONE,
        counted ? remark >> 3 : -1,
        report(b, at + 24));
  }

  /** An unknown outcome proves nothing, as an error does. */
  private static OutcomeCode code(byte code) {
    return switch (code & 255) {
      case 0 -> OutcomeCode.OK;
      case 2 -> OutcomeCode.MISS;
      case 11 -> OutcomeCode.FULL;
      case 104 -> OutcomeCode.RESET;
      case 110 -> OutcomeCode.TIMEOUT;
      case 111 -> OutcomeCode.CONNECT_FAILED;
      case 114 -> OutcomeCode.MOOT;
      case 125 -> OutcomeCode.CANCELLED;
      default -> OutcomeCode.ERROR;
    };
  }

  private static float[] report(ByteBuffer b, int at) {
    int n = Math.min(4, b.get(at) & 255);
    if (n == 0) {
      return null;
    }
    float[] values = new float[n];
    for (int i = 0; i < n; i++) {
      values[i] = b.getFloat(at + 1 + 4 * i);
    }
    return values;
  }

  private static byte[] bytes(ByteBuffer b, int field, int tail, int size) throws BadFrame {
    long from = tail + (b.getInt(field) & 0xffffffffL);
    long length = (b.getInt(field + 4) & 0xffffffffL) * size;
    if (from + length > b.limit()) {
      throw new BadFrame("a field points past the end of its batch");
    }
    byte[] out = new byte[(int) length];
    b.get((int) from, out);
    return out;
  }

  private static long micros(double millis) {
    return Double.isFinite(millis) ? Math.round(millis * 1000) : 0;
  }

  // ---------------------------------------------------------------- replies

  /** One reply under construction. */
  static final class Reply {
    private ByteBuffer records = ByteBuffer.allocate(1 << 12);
    private ByteBuffer tail = ByteBuffer.allocate(1 << 10);
    private int count;

    /** Names the instance whose actions follow. */
    void from(int instance) {
      start(15).putInt(instance);
      finish();
    }

    /** Says that the decision code has failed. */
    void bug(String text) {
      start(10);
      text(text.getBytes(StandardCharsets.UTF_8));
      finish();
    }

    void add(Action action) {
      if (action instanceof Send a) {
        start(1).putInt(a.call()).putInt(a.worker()).putDouble(millis(a.timeout()));
      } else if (action instanceof Refuse a) {
        start(2).putInt(a.call()).putDouble(millis(a.retryAfter()));
      } else if (action instanceof Fail a) {
        start(3).putInt(a.call());
      } else if (action instanceof Cancel a) {
        start(4).putInt(a.call()).put((byte) a.attempt());
      } else if (action instanceof StartTimer a) {
        start(5).putDouble(millis(a.delay())).putLong(a.token());
      } else if (action instanceof Probe a) {
        start(6).putInt(a.worker());
      } else if (action instanceof CloseIdleConnections a) {
        start(7).putInt(a.worker());
      } else if (action instanceof SendToPeer a) {
        start(8).putInt(a.peer());
        text(a.bytes());
      } else if (action instanceof Log a) {
        start(9);
        text(a.text().getBytes(StandardCharsets.UTF_8));
      } else if (action instanceof Subscribe a) {
        start(11).put((byte) (a.on() ? 1 : 0));
      } else if (action instanceof FetchWorkerList) {
        start(12);
      } else if (action instanceof Preload a) {
        start(13).putInt(a.worker()).putLong(a.function()).put((byte) a.copies());
      } else if (action instanceof Unload a) {
        start(14).putInt(a.worker()).putLong(a.function());
      }
      finish();
    }

    /** Writes the frame, flushes, and is empty again. */
    void write(OutputStream out) throws IOException {
      ByteBuffer header = ByteBuffer.allocate(8);
      header.putInt(count).putInt(8 + records.position() + tail.position());
      out.write(header.array());
      out.write(records.array(), 0, records.position());
      out.write(tail.array(), 0, tail.position());
      out.flush();
      records.clear();
      tail.clear();
      count = 0;
    }

    private ByteBuffer start(int code) {
      records = room(records, ACTION_BYTES);
      return records.put((byte) code);
    }

    private void text(byte[] bytes) {
      tail = room(tail, bytes.length);
      records.putInt(tail.position()).putInt(bytes.length);
      tail.put(bytes);
    }

    private void finish() {
      count++;
      while (records.position() < count * ACTION_BYTES) {
        records.put((byte) 0);
      }
    }

    private static ByteBuffer room(ByteBuffer b, int need) {
      if (b.remaining() >= need) {
        return b;
      }
      ByteBuffer bigger = ByteBuffer.allocate(Math.max(2 * b.capacity(), b.position() + need));
      return bigger.put(b.flip());
    }

    private static double millis(long micros) {
      return micros / 1000.0;
    }
  }
}
